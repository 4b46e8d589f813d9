package leader_test

// startRequests admits requests at random intervals. Half of them are for the few keys that
// get a dedicated shard now and then.
func (d *daemon) startRequests(gen int) {
	if gen != d.generation {
		return
	}
	d.whenRunning(func() {
		key := keys[d.sim.rand.IntN(len(keys))]
		if d.sim.rand.IntN(2) == 0 {
			key = keys[d.sim.rand.IntN(movableKeys)]
		}
		s := d.snap.Table().ShardOf(service, key, shards)
		if _, ok := d.owns(s); ok && gen == d.generation {
			d.serve(&inFlightRequest{key: key, shard: s})
		}
		d.sim.after(1+d.sim.randomUpTo(30), func() { d.startRequests(gen) })
	})
}

// serve runs a request and fails the simulation if another daemon with a valid lease has one in
// flight for the same shard or key.
func (d *daemon) serve(v *inFlightRequest) {
	sm, gen, s := d.sim, d.generation, v.shard
	sm.served++
	for _, o := range sm.daemons {
		if o != d && o.inFlight[s] > 0 && o.localTime() < o.snap.LeaseEnd() {
			sm.fail("shard %d runs a request at %s while one is in flight at %s under its lease", s, d.name, o.name)
		}
		for u := range o.requests {
			if o != d && u.key == v.key && o.localTime() < o.snap.LeaseEnd() {
				sm.fail("key %s runs at %s under shard %d while it does at %s under shard %d", v.key, d.name, s, o.name, u.shard)
			}
		}
	}
	d.inFlight[s]++
	d.requests[v] = true
	sm.after(sm.randomUpTo(200), func() {
		if gen == d.generation && d.requests[v] {
			delete(d.requests, v)
			d.inFlight[s]--
			d.notifyDrained(s)
		}
	})
}
