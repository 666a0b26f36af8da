//! One process of a test deployment.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::Stdio,
};

use tokio::process::{Child, Command};

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    child: Child,
}

/// The folder that holds the workspace's binaries.
fn binaries() -> PathBuf {
    let test = std::env::current_exe().expect("the path of this program");
    let deps = test.parent().expect("a folder");
    deps.parent().expect("the target folder").to_owned()
}

impl Process {
    /// Starts a binary of the workspace with its output in `log`.
    ///
    /// # Panics
    ///
    /// Panics if the binary is not built.
    #[must_use]
    pub fn start(name: &str, args: &[String], log: &Path) -> Self {
        let program = binaries().join(name);
        let child = spawn(&program, args, log);
        Self { program, args: args.to_vec(), log: log.to_owned(), child }
    }

    /// The process id; `None` once it has ended.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process without notice.
    ///
    /// # Panics
    ///
    /// Panics if it can't be killed.
    pub async fn kill(&mut self) {
        self.child.kill().await.expect("kill");
    }

    /// Sends a signal by name, such as `STOP`.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub async fn signal(&self, signal: &str) {
        let id = self.id().expect("a running process");
        let status = Command::new("kill")
            .args([format!("-{signal}"), id.to_string()])
            .status()
            .await
            .expect("kill runs");
        assert!(status.success(), "signal {signal} to {id}");
    }

    /// Waits for the end and returns whether the exit code was 0.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for.
    pub async fn wait(&mut self) -> bool {
        self.child.wait().await.expect("wait").success()
    }

    /// Whether the process has ended.
    ///
    /// # Panics
    ///
    /// Panics if its state can't be read.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("a state").is_some()
    }

    /// Starts the same command again.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.args, &self.log);
    }
}

fn spawn(program: &Path, args: &[String], log: &Path) -> Child {
    let out = File::options().create(true).append(true).open(log).expect("a log file");
    let err = out.try_clone().expect("a second handle");
    Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::from(out))
        .stderr(Stdio::from(err))
        .kill_on_drop(true)
        .spawn()
        .unwrap_or_else(|e| panic!("{} does not start ({e}); build it first", program.display()))
}
