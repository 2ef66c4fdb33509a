//! The stand-ins of the review's cases. Each case is played by one call: `stand-ins CASE FOLDER`, from the
//! repository's root. With TROUBLE=0 in the environment it is played without its disruption.

mod pipelined;
mod slow_board;
mod world;

use std::path::Path;

/// How a case ended, as the code of its process.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { world::unable("usage: stand-ins CASE FOLDER") };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let verdict = match case.as_str() {
        "slow-board" => slow_board::play(folder, trouble),
        "pipelined-late" => pipelined::play_late(folder, trouble),
        "pipelined-dropped" => pipelined::play_dropped(folder, trouble),
        _ => world::unable("no such case"),
    };
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
    });
}
