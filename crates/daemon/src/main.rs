//! Entry point of the bankcove daemon.

use clap::Parser;

use bankcoved::args::Args;
use bankcoved::lifecycle;

fn main() -> miette::Result<()> {
    let args = Args::parse();
    lifecycle::run(args)?;
    Ok(())
}
