//! Binary of the platform stand-in.

use std::{io, net::SocketAddr};

use clap::Parser;
use standin::{platform, process};

#[derive(Debug, Parser)]
#[command(version, about = "Stand-in for the platform (tests and demos only)")]
struct Cli {
    /// Loopback address to listen on; port 0 picks a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(flatten)]
    options: platform::Options,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let cli = Cli::parse();
    process::run(cli.listen, |listener| platform::serve(listener, cli.options)).await
}
