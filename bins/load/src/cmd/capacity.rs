//! `chervilgate-load capacity`

use bpaf::{Parser, construct, long};

use crate::{
    capacity::{Measurement, measure},
    cmd::{Error, FailedSnafu},
};

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct CapacityOptions {
    whole: bool,
    daemons: bool,
}

pub(super) fn options() -> impl Parser<CapacityOptions> {
    let whole = long("whole").help("Also run all 330 nodes, to check the fit").switch();
    let daemons = long("daemons").help("Measure running entries instead of counts").switch();
    construct!(CapacityOptions { whole, daemons })
}

pub(super) fn run(options: &CapacityOptions) -> Result<(), Error> {
    let measurement = match options.daemons {
        true => Measurement::Daemons,
        false => Measurement::Counts { whole: options.whole },
    };
    let failed = |message: String| FailedSnafu { message }.build();
    let runtime = tokio::runtime::Runtime::new().map_err(|error| failed(error.to_string()))?;
    let lines =
        runtime.block_on(measure(measurement)).map_err(|error| failed(error.to_string()))?;
    for line in lines {
        println!("{line}");
    }
    Ok(())
}
