//! Items of services whose targets run several versions of their software.

mod fixture;

use oleander_worklist::ItemOutcome;

use fixture::{Fixture, Interruption, LAST_BEFORE, Run, only_version};

/// Targets of three versions, two of each.
const THREE_VERSIONS: [(u16, &str, u32); 6] =
    [(1, "v1", 3), (2, "v2", 3), (3, "v3", 3), (4, "v1", 3), (5, "v2", 3), (6, "v3", 3)];
const ITEMS: u32 = 24;

/// Guards against texts of two versions, and against output that is made again though it need not be.
#[tokio::test]
async fn an_interrupted_item_goes_on_at_the_version_that_wrote_its_output() {
    for interruption in [Interruption::Broken, Interruption::Silent] {
        let fixture = Fixture::start(interruption, &THREE_VERSIONS).await;
        fixture.submit(ITEMS).await;
        for result in fixture.wait_for_results(ITEMS as usize).await {
            assert_eq!(result.state, ItemOutcome::Completed);
            let version = only_version(&result.output);
            let run = |after| Run { item: result.item.clone(), version: version.clone(), after };
            let expected = [run(None), run(Some(LAST_BEFORE))];
            assert_eq!(fixture.runs_of(&result.item), expected, "{interruption:?}");
        }
    }
}

#[tokio::test]
async fn an_item_whose_version_is_gone_starts_again_from_nothing() {
    for interruption in [Interruption::Broken, Interruption::Silent] {
        let fixture = Fixture::start(interruption, &[(1, "v1", 8), (2, "v1", 8)]).await;
        fixture.submit(8).await;
        fixture.wait_until(|fixture| fixture.targets.runs.lock().len() >= 8).await;
        fixture.list(&[(3, "v2", 8), (4, "v3", 8)]);
        for result in fixture.wait_for_results(8).await {
            assert_eq!(result.state, ItemOutcome::Completed);
            let runs = fixture.runs_of(&result.item);
            let last = runs.last().expect("a run");
            assert_ne!(only_version(&result.output), "v1", "{runs:?}");
            assert_eq!((runs.len(), last.after), (2, None), "{runs:?}");
        }
    }
}

/// Guards against one item that keeps a job from its free slots until its version has one.
#[tokio::test]
async fn an_item_that_waits_for_its_version_does_not_hold_up_the_others() {
    let fixture = Fixture::start(Interruption::Silent, &[(1, "v1", 1)]).await;
    fixture.submit(10).await;
    fixture.wait_until(|fixture| fixture.targets.has_interrupted()).await;
    fixture.list(&[(1, "v1", 1), (2, "v2", 4)]);
    // The item yields the only slot of its version.
    let online = fixture.take_online("v1").await;
    let others = fixture.wait_for_results(9).await;
    assert!(others.iter().all(|result| result.item != "item-0"));
    assert_eq!(fixture.runs_of("item-0").len(), 1, "the item still waits");
    drop(online);
    let results = fixture.wait_for_results(10).await;
    let result = results.iter().find(|result| result.item == "item-0").expect("a result");
    assert_eq!(only_version(&result.output), "v1");
    assert_eq!(fixture.runs_of("item-0")[1].after, Some(LAST_BEFORE));
}

/// Guards against an item that is never done as online requests keep all slots of its version.
#[tokio::test]
async fn an_item_that_yields_to_long_online_work_starts_again_at_another_version() {
    let fixture = Fixture::start(Interruption::Silent, &[(1, "v1", 1)]).await;
    fixture.submit(1).await;
    fixture.wait_until(|fixture| fixture.targets.has_interrupted()).await;
    fixture.list(&[(1, "v1", 1), (2, "v2", 1)]);
    let _online = fixture.take_online("v1").await;
    let results = fixture.wait_for_results(1).await;
    assert_eq!(only_version(&results[0].output), "v2");
    let runs = fixture.runs_of("item-0");
    assert_eq!(runs.last().expect("a run").after, None, "{runs:?}");
}
