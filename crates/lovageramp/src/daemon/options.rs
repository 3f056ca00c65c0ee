//! Command line options of a daemon.

use bpaf::{OptionParser, Parser, construct, long};
use std::path::PathBuf;
use trace::LogFormat;

/// Options shared by all daemons.
#[derive(Clone, Debug)]
pub(super) struct DaemonOptions {
    pub settings: PathBuf,
    pub check: bool,
    pub print_settings: bool,
    pub log: String,
    pub log_format: LogFormat,
    pub otlp: Option<String>,
}

/// Parser of the options shared by all daemons.
pub(super) fn options() -> impl Parser<DaemonOptions> {
    let settings = long("settings")
        .short('s')
        .help("JSON file with the settings; docs/SETTINGS.md lists the keys")
        .argument::<PathBuf>("FILE");
    let check = long("check")
        .help("Check the settings, print every finding and exit: 0 without findings, 1 with")
        .switch();
    let print_settings = long("print-settings")
        .help("Print the settings in force, defaults included, and exit")
        .switch();
    let log = long("log")
        .help("Level, or levels by module: info, wire=debug")
        .argument::<String>("LEVELS")
        .fallback("info".to_owned());
    let log_format = long("log-format")
        .help("json or text")
        .argument::<LogFormat>("FORMAT")
        .fallback(LogFormat::Text);
    let otlp = long("otlp")
        .help("Export spans to this OTLP collector: http://127.0.0.1:4318/v1/traces")
        .argument::<String>("URL")
        .optional();
    construct!(DaemonOptions {
        settings,
        check,
        print_settings,
        log,
        log_format,
        otlp,
    })
}

/// Adds a description and a footer with examples to the options of a daemon.
pub(super) fn with_description<T: 'static>(
    parser: impl Parser<T> + 'static,
    about: &'static str,
    footer: &'static str,
) -> OptionParser<T> {
    parser
        .to_options()
        .descr(about)
        .footer(footer)
        .version(env!("CARGO_PKG_VERSION"))
}
