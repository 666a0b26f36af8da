//! Binary of the TCP relay.

use std::{io, net::SocketAddr};

use clap::Parser;
use standin::{
    process,
    relay::{Relay, serve_control},
};
use tokio::net::TcpListener;

#[derive(Debug, Parser)]
#[command(version, about = "TCP relay that injects network faults (tests and demos only)")]
struct Cli {
    /// Loopback address to listen on; port 0 picks a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address that connections are forwarded to.
    #[arg(long)]
    to: SocketAddr,
    /// Address of the HTTP control interface; port 0 picks a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let cli = Cli::parse();
    let relay = Relay::start_at(cli.listen, cli.to).await?;
    let control = TcpListener::bind(cli.control).await?;
    process::print_address("control", control.local_addr()?)?;
    let address = relay.address();
    process::run_until_signal(address, serve_control(control, relay.handle())).await
}
