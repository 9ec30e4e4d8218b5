//! Commands for budgets.

use serde_json::{Value, json};

use crate::args::{BudgetCommand, Format};
use crate::client::Client;
use crate::config::Config;
use crate::error::Result;
use crate::output;
use crate::table::new_change_id;

/// Runs a command for budgets.
///
/// # Errors
/// Errors to print for the operator.
pub async fn run(cfg: &Config, command: BudgetCommand) -> Result<()> {
    let client = Client::new(cfg)?;
    match command {
        BudgetCommand::Show { name } => {
            let budget = client.budget(&name).await?;
            print_budget(&budget, cfg.format);
        }
        BudgetCommand::TopUp { name, tokens, change } => {
            let id = change.unwrap_or_else(new_change_id);
            client.top_up(&name, &id, tokens).await?;
            println!("{tokens} tokens added to '{name}' (top-up {id})");
        }
    }
    Ok(())
}

fn print_budget(budget: &Value, format: Format) {
    if format == Format::Json {
        output::json(budget);
        return;
    }
    let part = |name: &str| budget["statement"][name].clone();
    let line = json!({
        "name": budget["name"], "total": part("total"), "not yet granted": part("not_granted"),
        "held": part("held"), "set aside": part("reserved"), "spent": part("spent"),
        "on the way": part("on_the_way"), "of daemons that ended": part("ended"),
        "of daemons that are silent": part("silent"),
    });
    output::rows(&[line], format);
    print_protection(&budget["protection"], format);
    let Some(holders) = budget["statement"]["holders"].as_array() else { return };
    let holders: Vec<Value> = holders
        .iter()
        .map(|holder| {
            json!({
                "name": holder["daemon"], "held": holder["held"], "set aside": holder["reserved"],
                "spent": holder["spent"],
            })
        })
        .collect();
    println!();
    output::rows(&holders, format);
}

/// Prints which ranks leave how many tokens to more urgent ones, where any do.
fn print_protection(protection: &Value, format: Format) {
    let ranks = protection["ranks"].as_array().filter(|ranks| !ranks.is_empty());
    let Some(ranks) = ranks else { return };
    let line = |rank: &Value| {
        json!({
            "from rank": rank["from_rank"], "protected": rank["protected"],
            "held back": rank["held_back"], "within reach": protection["reachable"],
            "age ms": protection["age_ms"],
        })
    };
    println!();
    output::rows(&ranks.iter().map(line).collect::<Vec<Value>>(), format);
}
