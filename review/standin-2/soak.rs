include!("world.rs");

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (record, dir, seed, secs) = (&args[1], &args[2], args[3].parse::<u64>().unwrap(), args[4].parse::<u64>().unwrap());
    let trouble = args.get(5).map_or("all", String::as_str).to_owned();
    let world = World::new(record);
    let store = TcpListener::bind("127.0.0.1:0").unwrap();
    let cloud = TcpListener::bind("127.0.0.1:0").unwrap();
    let (sa, ca) = (store.local_addr().unwrap(), cloud.local_addr().unwrap());
    world.serve_store(store);
    world.serve_cloud(cloud);
    for i in 0..3 { world.engine(&format!("app-{i}"), "app", "v1", ["za", "zb", "zc"][i % 3]); }
    for i in 0..6 { world.engine(&format!("llm-{i}"), "llm", "v1", ["za", "zb", "zc"][i % 3]); }
    world.store.put("keyed.op", "config", &config(5));
    let mut all = nodes(dir, 4, sa, ca);
    for n in &mut all { n.start(dir); }
    let fronts: Vec<SocketAddr> = all.iter().map(|n| n.front).collect();
    thread::sleep(Duration::from_secs(4));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut handles = Vec::new();
    for t in 0..40u64 {
        let (world, sent, fronts) = (Arc::clone(&world), Arc::clone(&sent), fronts.clone());
        handles.push(thread::spawn(move || {
            let mut rng = Rng(seed * 7919 + t * 104729 + 1);
            let mut conns: HashMap<usize, Conn> = HashMap::new();
            let mut n = 0;
            while !world.stop.load(SeqCst) {
                n += 1;
                let node = rng.below(fronts.len() as u64) as usize;
                let kind = ["unsafe", "safe", "stream", "once", "unsafe", "unsafe"][rng.below(6) as usize];
                let kept = conns.contains_key(&node);
                let mut c = match conns.remove(&node) {
                    Some(c) => c,
                    None => match TcpStream::connect_timeout(&fronts[node], Duration::from_millis(1000)) {
                        Ok(s) => Conn::new(s),
                        Err(_) => { thread::sleep(Duration::from_millis(20)); continue; }
                    },
                };
                let id = format!("{seed:x}{t:03x}{n:05x}");
                let deadline = match kind { "stream" => 8000, "once" => 4000, _ => 1000 };
                let body = if kind == "safe" { String::new() } else { format!("body {id} ").repeat(1 + rng.below(200) as usize) };
                let s = call(&mut c, kind, node, &id, kept, deadline, &body);
                if s.complete && !s.note.starts_with("close") { conns.insert(node, c); }
                sent.lock().unwrap().push(s);
                thread::sleep(Duration::from_millis(rng.below(60)));
            }
        }));
    }
    let end = Instant::now() + Duration::from_secs(secs);
    let mut rng = Rng(seed * 31 + 17);
    let mut version = 5;
    let engines: Vec<Arc<Engine>> = world.engines.lock().unwrap().clone();
    while Instant::now() < end && trouble != "none" {
        thread::sleep(Duration::from_millis(300 + rng.below(1200)));
        let i = rng.below(all.len() as u64) as usize;
        let what = match trouble.as_str() { "term" => 0, "kill" => 1, "stop" => 2, "garble" => 4, _ => rng.below(6) };
        match what {
            0 => {
                world.record(&format!("SIGTERM {}", all[i].name));
                let at = Instant::now();
                if let Some(child) = &all[i].child { signal(child, "-TERM"); }
                let n = &mut all[i];
                let mut ended = None;
                while at.elapsed() < Duration::from_secs(8) {
                    if let Some(c) = &mut n.child { if let Ok(Some(_)) = c.try_wait() { ended = Some(Instant::now()); break; } }
                    thread::sleep(Duration::from_millis(10));
                }
                n.kill();
                n.terms.push((at, ended));
                world.record(&format!("ended {} after {:?} by itself {}", n.name, at.elapsed(), ended.is_some()));
                thread::sleep(Duration::from_millis(200));
                n.start(dir);
                thread::sleep(Duration::from_millis(1500));
            }
            1 => { world.record(&format!("SIGKILL {}", all[i].name)); all[i].kill(); thread::sleep(Duration::from_millis(500)); all[i].start(dir); }
            2 => {
                world.record(&format!("SIGSTOP {}", all[i].name));
                if let Some(c) = &all[i].child { signal(c, "-STOP"); thread::sleep(Duration::from_millis(500 + rng.below(4000))); signal(c, "-CONT"); }
                world.record("SIGCONT");
            }
            3 => { version += 1 + rng.below(3); world.store.put("keyed.op", "config", &config(version)); }
            4 => { let e = &engines[rng.below(engines.len() as u64) as usize]; e.garble.store(50, SeqCst); e.fails.store(100, SeqCst); thread::sleep(Duration::from_millis(2000)); e.garble.store(0, SeqCst); e.fails.store(0, SeqCst); }
            _ => { if let Some(c) = &all[i].child { signal(c, "-HUP"); } }
        }
    }
    if trouble == "none" { thread::sleep(Duration::from_secs(secs)); }
    world.stop.store(true, SeqCst);
    for h in handles { let _ = h.join(); }
    for n in &mut all { n.kill(); }
    // Check.
    let runs = world.runs.lock().unwrap();
    let sent = sent.lock().unwrap();
    let mut broken: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    let known: HashMap<&str, &Sent> = sent.iter().map(|s| (s.id.as_str(), s)).collect();
    for s in sent.iter() {
        let r = runs.get(&s.id).map_or(&[][..], |r| &r[..]);
        *outcomes.entry(format!("{} {} complete={} {}", s.kind, s.status, s.complete, s.note.chars().take(40).collect::<String>())).or_default() += 1;
        let once = matches!(s.kind, "unsafe" | "once");
        if once && r.len() > 1 { broken.entry("TWICE").or_default().push(format!("{s:?} {r:?}")); }
        if once && matches!(s.status, 408 | 421 | 429 | 503) && !r.is_empty() { broken.entry("REFUSED").or_default().push(format!("{s:?} {r:?}")); }
        if s.status == 200 && s.complete && !(s.signed && s.right) { broken.entry("MIXED").or_default().push(format!("{s:?} {r:?}")); }
        for r in r { if r.body_hash != s.body_hash || r.tenant != "t1" { broken.entry("UNASKED").or_default().push(format!("{s:?} {r:?}")); } }
        // Requests around a SIGTERM whose connection ended without a whole answer.
        if !s.complete {
            for (term, ended) in &all[s.node].terms {
                let until = *term + Duration::from_secs(9);
                let excused = s.at > *term + Duration::from_secs(3) ;
                if s.end >= *term && s.at <= until && s.end <= until && !r.is_empty() {
                    let slack = s.end.duration_since(s.last_byte);
                    broken.entry("LOST?").or_default().push(format!("term+{:?} lasted {slack:?} ended {:?} late {excused} {s:?} {r:?}", s.at.saturating_duration_since(*term), ended.map(|e| e.duration_since(*term))));
                }
            }
            if s.kept && s.status == 0 && !r.is_empty() { broken.entry("kept closed").or_default().push(format!("{s:?} {r:?}")); }
        }
    }
    for id in runs.keys() { if !known.contains_key(id.as_str()) { broken.entry("unknown id").or_default().push(id.clone()); } }
    for (o, n) in &outcomes { println!("{n:7} {o}"); }
    for (rule, cases) in &broken { println!("{rule}: {}", cases.len()); for c in cases.iter().take(4) { println!("   {c}"); } }
    println!("sent {}", sent.len());
}
