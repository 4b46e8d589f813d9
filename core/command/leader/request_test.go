package leader_test

// request runs requests: each enters the count, then checks, then runs a while.
func (d *daemon) request(life int) {
	if life != d.life {
		return
	}
	d.awake(func() {
		key := keys[d.world.rand.IntN(len(keys))]
		if d.world.rand.IntN(2) == 0 {
			key = keys[d.world.rand.IntN(movable)]
		}
		s := d.snap.Table().ShardOf(service, key, shards)
		if _, ok := d.owns(s); ok && life == d.life {
			d.serve(&visit{key: key, shard: s})
		}
		d.world.after(1+d.world.span(30), func() { d.request(life) })
	})
}

func (d *daemon) serve(v *visit) {
	w, life, s := d.world, d.life, v.shard
	w.served++
	for _, o := range w.daemons {
		if o != d && o.flight[s] > 0 && o.local() < o.snap.LeaseEnd() {
			w.fail("shard %d runs a request at %s while one is in flight at %s under its lease", s, d.name, o.name)
		}
		for u := range o.visits {
			if o != d && u.key == v.key && o.local() < o.snap.LeaseEnd() {
				w.fail("key %s runs at %s under shard %d while it does at %s under shard %d", v.key, d.name, s, o.name, u.shard)
			}
		}
	}
	d.flight[s]++
	d.visits[v] = true
	w.after(w.span(200), func() {
		if life == d.life && d.visits[v] {
			delete(d.visits, v)
			d.flight[s]--
			d.drained(s)
		}
	})
}
