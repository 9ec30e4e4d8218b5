//! Entry point of the bankcove daemon.

use clap::Parser;

use bankcoved::args::Args;
use bankcoved::controller;

fn main() -> miette::Result<()> {
    let args = Args::parse();
    controller::run(args)?;
    Ok(())
}
