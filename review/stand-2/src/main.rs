//! Runs one case of the review: `azurelug-review-2 NAME FOLDER`, in the root of the repository. Exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod failback;
mod http;
mod mixed;
mod targets;
mod world;

use std::path::Path;

use mixed::Manner;
use world::World;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: azurelug-review-2 NAME FOLDER");
        std::process::exit(2);
    };
    let root = std::env::current_dir().expect("the current folder exists");
    let world = World::new(&root, Path::new(folder));
    let code = match name.as_str() {
        "mixed" => mixed::run(world, Manner::Quiet),
        "mixed-evacuation" => mixed::run(world, Manner::Evacuation),
        "failback" => failback::run(world),
        _ => {
            eprintln!("no such case: {name}");
            2
        }
    };
    std::process::exit(code);
}
