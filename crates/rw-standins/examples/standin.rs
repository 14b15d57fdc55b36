//! Runs one stand-in: `standin platform|engine|plain|proxy IP:PORT`.

use std::process::ExitCode;

use rw_standins::{engine, plain, platform, proxy};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [kind, addr] = args.as_slice() else {
        eprintln!("usage: standin platform|engine|plain|proxy IP:PORT");
        return ExitCode::from(2);
    };
    let result = match kind.as_str() {
        "platform" => platform::run(addr),
        "engine" => engine::run(addr),
        "plain" => plain::run(addr),
        "proxy" => proxy::run(addr),
        _ => Err(std::io::Error::other(format!("unknown stand-in '{kind}'"))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{kind} at {addr}: {err}");
            ExitCode::FAILURE
        }
    }
}
