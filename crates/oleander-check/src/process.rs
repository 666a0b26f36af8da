//! Child process of a test deployment.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::Stdio,
};

use tokio::process::{Child, Command};

/// Child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    child: Child,
}

/// Folder of the workspace's binaries: the parent of `deps`, which holds the test program.
fn binary_folder() -> PathBuf {
    let test = std::env::current_exe().expect("no path of the test program");
    let deps = test.parent().expect("test program has no parent folder");
    deps.parent().expect("no target folder").to_owned()
}

impl Process {
    /// Starts a binary of the workspace and appends its output to `log`.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be started, for instance since the binary is not built.
    #[must_use]
    pub fn start(name: &str, args: &[String], log: &Path) -> Self {
        let program = binary_folder().join(name);
        let child = spawn(&program, args, log);
        Self { program, args: args.to_vec(), log: log.to_owned(), child }
    }

    /// Process id; `None` once the process has been waited for.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends SIGKILL and waits for the process to exit.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be killed.
    pub async fn kill(&mut self) {
        self.child.kill().await.expect("failed to kill process");
    }

    /// Sends a signal by name, such as `STOP`.
    ///
    /// # Panics
    ///
    /// Panics if the process has exited or the signal can't be sent.
    pub async fn signal(&self, signal: &str) {
        let id = self.id().expect("process has exited");
        let status = Command::new("kill")
            .args([format!("-{signal}"), id.to_string()])
            .status()
            .await
            .expect("failed to run kill");
        assert!(status.success(), "failed to send SIG{signal} to process {id}");
    }

    /// Waits for the process to exit and returns whether its exit code is 0.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for.
    pub async fn wait(&mut self) -> bool {
        self.child.wait().await.expect("failed to wait for process").success()
    }

    /// Whether the process has exited.
    ///
    /// # Panics
    ///
    /// Panics if the state of the process can't be read.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("failed to read process state").is_some()
    }

    /// Starts the same command again, appending to the same log.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be started.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.args, &self.log);
    }
}

fn spawn(program: &Path, args: &[String], log: &Path) -> Child {
    let out = File::options().create(true).append(true).open(log).expect("failed to open log file");
    let err = out.try_clone().expect("failed to clone log file handle");
    Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::from(out))
        .stderr(Stdio::from(err))
        .kill_on_drop(true)
        .spawn()
        .unwrap_or_else(|e| {
            panic!(
                "{} failed to start: {e}; build the workspace's binaries first",
                program.display()
            )
        })
}
