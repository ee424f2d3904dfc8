// Plays one rollout of `app` with three gateway nodes, and judges EXPOSURE for its bad version.
// rollout MODE FOLDER SCRATCH: MODE is `load` or `route`. TROUBLE=0 leaves the disruption out.

include!("world.rs");

const ZONES: [&str; 3] = ["za", "zb", "zc"];
const CALM: Duration = Duration::from_secs(8);
const SECOND: Duration = Duration::from_secs(1);

/// `exposure_share` and `exposure_slack` of the settings.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;

/// `rollback_ms` of the settings, and the bad answer from which it counts.
const ROLLBACK: Duration = Duration::from_millis(5000);
const ROLLBACK_ANSWERS: usize = 50;

fn start(world: &Arc<World>, version: &str) -> Vec<Arc<Engine>> {
    ZONES.iter().map(|z| world.engine(&format!("i-{version}-{z}"), "app", version, z)).collect()
}

fn order(world: &World, target: &str, duration_s: u64) -> Instant {
    let text = format!("{{\"service\":\"app\",\"target\":\"{target}\",\"duration_s\":{duration_s}}}");
    world.store.put("keyed.op", "rollout/app", &text);
    world.record(&format!("the operator orders {text}"));
    Instant::now()
}

/// Ends the engines of a version at once, as the platform does at `completed`.
fn end(engines: &[Arc<Engine>]) {
    for e in engines {
        e.gone.store(true, SeqCst);
    }
}

fn client(world: &World, fronts: &[SocketAddr], number: u64, unsafe_per_mille: u64, sent: &Mutex<Vec<Sent>>) {
    let mut rng = Rng(number * 104_729 + 7);
    let mut conns: HashMap<usize, Conn> = HashMap::new();
    let mut n = 0;
    while !world.stop.load(SeqCst) {
        n += 1;
        let node = rng.below(fronts.len() as u64) as usize;
        let kind = if rng.chance(unsafe_per_mille) { "unsafe" } else { "safe" };
        let kept = conns.contains_key(&node);
        let mut c = match conns.remove(&node) {
            Some(c) => c,
            None => match TcpStream::connect_timeout(&fronts[node], SECOND) {
                Ok(s) => Conn::new(s),
                Err(_) => {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
            },
        };
        let id = format!("{number:04x}{n:06x}");
        let body = if kind == "safe" { String::new() } else { format!("body of {id}") };
        let s = call(&mut c, kind, node, &id, kept, 1000, &body);
        if s.complete && !s.note.starts_with("close") {
            conns.insert(node, c);
        }
        world.record(&format!("{} {} {} sent {:.3} answered {} {}", s.id, s.kind, node, s.at.duration_since(world.started).as_secs_f64(), s.status, s.note));
        sent.lock().unwrap().push(s);
        thread::sleep(Duration::from_millis(40 + rng.below(80)));
    }
}

fn main() {
    let played = std::panic::catch_unwind(play);
    std::process::exit(played.unwrap_or(2));
}

/// Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
fn play() -> i32 {
    let args: Vec<String> = std::env::args().collect();
    let (mode, folder) = (args[1].as_str(), args[2].as_str());
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let dir = args[3].clone();
    let world = World::new(&format!("{folder}/record.txt"));
    let store = TcpListener::bind("127.0.0.1:0").unwrap();
    let cloud = TcpListener::bind("127.0.0.1:0").unwrap();
    let addresses = (store.local_addr().unwrap(), cloud.local_addr().unwrap());
    world.serve_store(store);
    world.serve_cloud(cloud);
    let v1 = start(&world, "v1");
    for z in ZONES {
        world.engine(&format!("llm-{z}"), "llm", "v1", z);
    }
    world.store.put("keyed.op", "config", &config(5));
    let mut nodes = nodes(&dir, 3, addresses.0, addresses.1);
    for n in &mut nodes {
        n.start(&dir);
    }
    // For run.sh, which ends them if this program is ended.
    let pids: Vec<String> = nodes.iter().filter_map(|n| Some(n.child.as_ref()?.id().to_string())).collect();
    fs::write(format!("{dir}/pids"), pids.join(" ")).unwrap();
    let fronts: Vec<SocketAddr> = nodes.iter().map(|n| n.front).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let (clients, per_mille) = if mode == "route" { (15, 20) } else { (80, 300) };
    let clients: Vec<_> = (0..clients)
        .map(|i| {
            let (world, sent, fronts) = (Arc::clone(&world), Arc::clone(&sent), fronts.clone());
            thread::spawn(move || client(&world, &fronts, i + 1, per_mille, &sent))
        })
        .collect();
    thread::sleep(CALM);
    // Requests a second of one engine in general use.
    let usual = v1.iter().map(|e| e.arrivals.lock().unwrap().len() as u64).sum::<u64>() / 3;
    world.record(&format!("each engine of app gets {usual} requests a second"));

    let duration_s = 20;
    let ordered = order(&world, "v2", duration_s);
    let deadline = ordered + Duration::from_secs(duration_s);
    thread::sleep(SECOND);
    let v2 = start(&world, "v2");
    let bad_at = match mode {
        // Half of the requests of one route fail, from the start on.
        "route" => ordered + SECOND,
        // Half of the requests fail at an engine that gets nearly as many as each engine in general use.
        "load" => ordered + SECOND,
        _ => panic!("unknown mode {mode}"),
    };
    thread::sleep(bad_at.saturating_duration_since(Instant::now()));
    if trouble {
        world.record("v2 is bad from now on");
        for e in &v2 {
            match mode {
                "route" => e.fails_unsafe.store(500, SeqCst),
                "load" => e.overload.store(usual * 7 / 8, SeqCst),
                _ => e.fails.store(500, SeqCst),
            }
        }
    }
    let mut status = String::new();
    let mut completed = None;
    while Instant::now() < deadline + SECOND * 6 {
        let now = world.store.newest("keyed.status", "rollout/app").unwrap_or_default();
        if now != status {
            world.record(&format!("status {now}"));
            if now.contains("\"completed\"") {
                completed.get_or_insert(Instant::now());
                end(&v1);
            }
            status = now;
        }
        thread::sleep(Duration::from_millis(20));
    }
    world.stop.store(true, SeqCst);
    for c in clients {
        let _ = c.join();
    }
    for n in &mut nodes {
        n.kill();
    }
    let _ = fs::remove_file(format!("{dir}/pids"));

    // Judge.
    let runs = world.runs.lock().unwrap();
    let sent = sent.lock().unwrap();
    let answered = sent.iter().filter(|s| s.status == 200 && s.right).count();
    if answered < 1000 {
        println!("only {answered} requests were answered: the case could not run");
        return 2;
    }
    let mut all: Vec<&Run> = runs.values().flatten().filter(|r| r.engine.starts_with("i-")).collect();
    all.sort_by_key(|r| r.at);
    let within = || all.iter().filter(|r| r.at >= ordered && r.at < deadline);
    let (total, exposed) = (within().count(), within().filter(|r| r.version == "v2").count());
    let mut bad: Vec<Instant> = all.iter().filter(|r| r.version == "v2").filter_map(|r| r.failed).collect();
    bad.sort();
    let before = bad.iter().filter(|at| completed.is_some_and(|end| **at < end)).count();
    let is_bad = !bad.is_empty();
    let allowed = SHARE * total as f64 + SLACK;
    let fiftieth = bad.get(ROLLBACK_ANSWERS - 1).map(|at| *at + ROLLBACK);
    let late = fiftieth.map_or(0, |from| {
        let sent_late = |s: &&Sent| s.at > from;
        let of_v2 = |s: &&Sent| runs.get(&s.id).is_some_and(|r| r.iter().any(|r| r.version == "v2"));
        sent.iter().filter(sent_late).filter(of_v2).count()
    });
    // Accepted and lost: an engine of v2 ran the request, and its caller got no success.
    let ran_at_v2 = |id: &str| runs.get(id).is_some_and(|r| r.iter().any(|r| r.version == "v2" && r.failed.is_some()));
    let failed_unsafe = sent.iter().filter(|s| s.kind == "unsafe" && s.status != 200 && ran_at_v2(&s.id)).count();
    let broken = is_bad && (exposed as f64 > allowed || late > 0);
    let text = format!(
        "from the order to its deadline {total} requests reached the service, {exposed} of them v2 (allowed {allowed:.0} if it is bad); \
         bad answers of v2 {}, {before} of them before `completed`; sent to v2 later than {} ms after its 50th bad answer: {late}; \
         requests that may not be repeated, ran at v2 and failed: {failed_unsafe}; last status {status}; EXPOSURE {}",
        bad.len(), ROLLBACK.as_millis(), if broken { "broken" } else { "held" }
    );
    world.record(&text);
    println!("{text}");
    i32::from(broken)
}
