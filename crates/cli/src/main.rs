//! Command-line client for operators of bankcove.

mod args;
mod blocked;
mod budget;
mod client;
mod commands;
mod config;
mod demo;
mod drain;
mod error;
mod limits;
mod load;
mod output;
mod paths;
mod servers;
mod standin;
mod table;

use std::process::ExitCode;

use clap::Parser;

use crate::args::Args;

fn main() -> ExitCode {
    let args = Args::parse();
    match commands::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let code = e.exit_code();
            eprintln!("{:?}", miette::Report::new(e));
            code
        }
    }
}
