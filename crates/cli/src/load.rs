//! Stub until the path stands.
use crate::args::{Format, LoadArgs};
use crate::error::Result;
pub async fn run(_args: &LoadArgs, _format: Format) -> Result<()> {
    Ok(())
}
