package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// cases are the scripts by the number of their folder. Each returns the breaks of the rule that it saw.
var cases = map[string]func(root string, r *record, trouble bool) ([]string, error){
	"drained": drainedSuccessor,
	"extra":   extraAnswer,
	"behind":  behindBrokenAnswer,
	"unheard": unheardServer,
}

// deployment is a running cluster with a server next to each daemon.
type deployment struct {
	*cluster
	servers []*server
	clients []*client
	stop    chan struct{}
	group   sync.WaitGroup
	results struct {
		sync.Mutex
		list []result
	}
}

func repeat(service string, n int) []string {
	var list []string
	for range n {
		list = append(list, service)
	}
	return list
}

// deploy starts a cluster, servers and the first configuration, and waits until all daemons are ready.
func deploy(root string, r *record, services []string, sharded map[string]bool, routes []route, work func(*http.Request) time.Duration, prepare func(*server)) (*deployment, error) {
	c, err := newCluster(root, r, services)
	if err != nil {
		return nil, err
	}
	d := &deployment{cluster: c, stop: make(chan struct{})}
	if err := c.startAll(); err != nil {
		return d, err
	}
	for _, m := range c.side {
		s := newServer(r, m, newID(), 12, sharded[m.service], work)
		if prepare != nil {
			prepare(s)
		}
		if err := s.start(); err != nil {
			return d, err
		}
		d.servers = append(d.servers, s)
		d.clients = append(d.clients, &client{record: r, address: m.outbound()})
	}
	if err := c.putConfig("00000000", configBody("00000005", routes, sharded), 15*time.Second); err != nil {
		return d, err
	}
	if err := c.awaitReady(15 * time.Second); err != nil {
		return d, err
	}
	time.Sleep(4 * time.Second) // the first keys are placed
	return d, nil
}

func (d *deployment) end() {
	close(d.stop)
	d.group.Wait()
	d.stopAll()
}

// load sends requests from all machines until the deployment ends, perSecond in all.
func (d *deployment) load(perSecond float64, one func(c *client) result) {
	for _, c := range d.clients {
		d.group.Add(1)
		go func() {
			defer d.group.Done()
			gap := float64(time.Second) * float64(len(d.clients)) / perSecond
			for {
				select {
				case <-d.stop:
					return
				case <-time.After(time.Duration(gap * (0.5 + rand.Float64()))):
				}
				d.group.Add(1)
				go func() {
					defer d.group.Done()
					res := one(c)
					d.results.Lock()
					d.results.list = append(d.results.list, res)
					d.results.Unlock()
				}()
			}
		}()
	}
}

func fixedWork(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}

// downTime is for how long a server is down: the for_s of srv_crash in the site file.
const downTime = 4500 * time.Millisecond

// drainMs is the bound of the site.
const drainMs = 2000

// lateRuns returns the runs that began at a server later than drainMs after its daemon acknowledged that it drains.
func lateRuns(r *record, s *server) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ack := s.drainAck.Load()
	var late []string
	cut := 0
	for _, e := range s.runs {
		if e.ran && ack > 0 && e.at > ack+drainMs {
			late = append(late, fmt.Sprintf("DRAIN: request %s reaches server %s %d ms after the ack that it is draining (drainMs is %d)", e.id, s.id, e.at-ack, drainMs))
			if e.status == 0 {
				cut++
			}
		}
	}
	r.add("acknowledged at %.3f s; requests that ran at the server later than drainMs after that: %d; of these cut by its end: %d", float64(ack)/1000, len(late), cut)
	return late
}

// drainAndLeave drains a server, which serves on for a while (drainMs "and a little longer (at times many seconds)"), and
// ends it.
func drainAndLeave(s *server, serves time.Duration) {
	s.drain()
	for end := time.Now().Add(5 * time.Second); s.drainAck.Load() == 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(serves)
	s.leave()
	time.Sleep(2 * time.Second)
}

// drainedSuccessor: while a service has no requests, one of its servers crashes; it is started anew and drained soon after.
// Then requests come. DRAIN: none reaches the new server later than drainMs after the ack.
func drainedSuccessor(root string, r *record, trouble bool) ([]string, error) {
	const service, host, prefix = "bookings", "nony93.example", "/puba11/"
	d, err := deploy(root, r, repeat(service, 8), nil, []route{{host, prefix, "unsafe", service}}, fixedWork(210*time.Millisecond), nil)
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	s := d.servers[0]
	if trouble {
		old := s
		old.end("crash")
		time.Sleep(downTime)
		s = newServer(r, old.m, newID(), 12, false, fixedWork(210*time.Millisecond))
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	d.load(80, func(c *client) result {
		return c.send(http.MethodPost, host, prefix+"a", requestID(), -1, 1500*time.Millisecond)
	})
	drainAndLeave(s, 8*time.Second)
	return lateRuns(r, s), nil
}

// unheardServer: a server crashes, and is withdrawn a second after it was started again, while its heartbeats are still on
// their way. DRAIN: no request reaches it later than drainMs after the ack.
func unheardServer(root string, r *record, trouble bool) ([]string, error) {
	const service, host, prefix = "bookings", "nony93.example", "/puba11/"
	d, err := deploy(root, r, repeat(service, 8), nil, []route{{host, prefix, "unsafe", service}}, fixedWork(210*time.Millisecond), nil)
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return nil, err
	}
	d.load(80, func(c *client) result {
		return c.send(http.MethodPost, host, prefix+"a", requestID(), -1, 1500*time.Millisecond)
	})
	time.Sleep(2 * time.Second)
	s := d.servers[0]
	if trouble {
		old := s
		old.end("crash")
		time.Sleep(downTime)
		s = newServer(r, old.m, newID(), 12, false, fixedWork(210*time.Millisecond))
		s.beatDelay = 2 * time.Second
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	s.sayGone()
	time.Sleep(8 * time.Second) // it serves on for drainMs and "at times many seconds" more
	s.end("it leaves")
	time.Sleep(2 * time.Second)
	return lateRuns(r, s), nil
}

// extraAnswer: a faulty server sends the answer of a grant once more, late, where the answer of the release is due. OWNER:
// no server is given a key on which another is still at work, before that one's hold would have run out.
func extraAnswer(root string, r *record, trouble bool) ([]string, error) {
	const service, host, prefix = "catalogue", "cubo38.example", "/levo940/"
	var mu sync.Mutex
	var broken []string
	var all []*server
	onGrant := func(g grantEvent) {
		mu.Lock()
		defer mu.Unlock()
		for _, o := range all {
			if o == g.server || o.ended() {
				continue
			}
			for _, e := range o.workingOn(g.first, g.last) {
				hold := int64(0)
				for _, x := range o.grantsOf(e.key) {
					hold = max(hold, x.until)
				}
				if hold > g.at {
					broken = append(broken, fmt.Sprintf("OWNER: server %s is given key %d (fence %d) while server %s is at work on it (request %s, begun %d ms before); that one's hold runs for %d ms more",
						g.server.id, e.key, g.fence, o.id, e.id, g.at-e.at, hold-g.at))
				}
			}
		}
	}
	work := func(*http.Request) time.Duration { // as in the site: mean 160 ms, spread 0.5, one in a hundred five times as long
		if rand.IntN(100) == 0 {
			return 800 * time.Millisecond
		}
		return time.Duration(80+rand.IntN(160)) * time.Millisecond
	}
	slowWork := func(r *http.Request) time.Duration { return work(r) * 14 / 10 } // a server of another speed, as in the site
	d, err := deploy(root, r, repeat(service, 8), map[string]bool{service: true}, []route{{host, prefix, "safe", service}}, work, func(s *server) {
		s.onGrant = onGrant
		mu.Lock()
		defer mu.Unlock()
		if len(all) == 0 { // the faulty one
			s.work = slowWork
		}
		all = append(all, s)
	})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return nil, err
	}
	d.load(400, func(c *client) result {
		return c.send(http.MethodGet, host, prefix+"a", requestID(), rand.IntN(keyCount), 1200*time.Millisecond)
	})
	time.Sleep(6 * time.Second)
	s := d.servers[0]
	before := s.answers.Load()
	if trouble {
		s.extraAnswers.Store(4)
	}
	end := time.NewTimer(5 * time.Second) // for_s
	time.Sleep(3500 * time.Millisecond)
	go s.drain()
	<-end.C
	s.extraAnswers.Store(0)
	r.add("server %s sent %d answers in 5 s, of these %d once more; it is one of %d servers", s.id, s.answers.Load()-before, s.repeated.Load(), len(d.servers))
	time.Sleep(3 * time.Second)
	s.leave()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}

func (s *server) grantsOf(key int) []grantEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []grantEvent
	for _, g := range s.grants {
		if g.first <= key && key <= g.last {
			list = append(list, g)
		}
	}
	return list
}
