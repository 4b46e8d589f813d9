// Command standin plays one case of the review: it starts the project's own program as separate processes on loopback
// addresses, with stand-ins for servers, clients and the operator, and checks a rule of the users' pages.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	root := flag.String("root", ".", "folder of the repository")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the temporary folder with the logs")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin: unknown case", flag.Arg(0))
		os.Exit(exitNotRun)
	}
	os.Exit(run(*root, *path, *keep, play))
}

// playFunc plays a case on a fleet that serves; trouble says whether the disruption is made.
type playFunc func(f *fleet, trouble bool)

var cases = map[string]caseOf{
	"restart": {services: []string{keyedService, keyedService, keyedService}, play: playRestart},
	"writer":  {services: []string{keyedService, keyedService, keyedService}, play: playWriter},
	"oldbeat": {services: []string{keyedService, keyedService, keyedService}, play: playOldBeat},
}

type caseOf struct {
	services []string
	play     playFunc
}

func run(root, path string, keep bool, c caseOf) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(root, r, c.services)
	if err != nil {
		r.print("not run: %v", err)
		return exitNotRun
	}
	defer f.stop(keep)
	if keep {
		fmt.Println("logs:", f.folder)
	}
	if err := f.start(); err != nil {
		r.print("not run: %v", err)
		return exitNotRun
	}
	go f.judge.watch(f.done)
	trouble := os.Getenv("TROUBLE") != "0"
	c.play(f, trouble)
	broken := f.judge.verdict()
	for _, b := range broken {
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		r.print("the rule was broken, %d times", len(broken))
		return exitBroken
	}
	r.print("the rule held")
	fmt.Println("held")
	return exitHeld
}

func newID() string { return fmt.Sprintf("i-%010x", rand.Uint64()>>24) }

// playRestart crashes a server, which is back at once under a new id. The heartbeats of its first two seconds arrive
// late.
func playRestart(f *fleet, trouble bool) {
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		f.traffic(100*time.Millisecond, stop)
		close(ended)
	}()
	time.Sleep(3 * time.Second)
	if trouble {
		m := f.sides[0]
		old := m.server
		old.crash()
		s, err := startServer(m, newID(), 2*time.Second)
		if err != nil {
			f.record.print("cannot start a server: %v", err)
			return
		}
		m.server = s
		f.record.print("server %s of %s crashed; %s is up at the same address, its first heartbeat arrives 2 s late", old.id, m.name, s.id)
	}
	time.Sleep(9 * time.Second)
	close(stop)
	<-ended
}

// playWriter lets another writer send entries that cannot be read to the daemon of one machine.
func playWriter(f *fleet, trouble bool) {
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		f.traffic(100*time.Millisecond, stop)
		close(ended)
	}()
	time.Sleep(3 * time.Second)
	for n := range 40 {
		if trouble {
			id := newID()
			f.record.print("another writer sends an entry %s that cannot be read to %s", id, f.sides[0].name)
			f.sides[0].put(id, []byte(`{"service":7,`))
		}
		time.Sleep(400 * time.Millisecond)
		_ = n
	}
	time.Sleep(5 * time.Second)
	close(stop)
	<-ended
}

// playOldBeat restarts one server after the other under a new id. Later the last heartbeats of the old one, which were
// held up, arrive.
func playOldBeat(f *fleet, trouble bool) {
	const (
		heldUp   = 4 // heartbeats that were sent during a partition of six seconds
		settling = 4 * time.Second
		watching = 7 * time.Second
	)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		f.traffic(100*time.Millisecond, stop)
		close(ended)
	}()
	time.Sleep(2 * time.Second)
	for n := range 2 * len(f.sides) {
		m := f.sides[n%len(f.sides)]
		old := m.server
		if trouble {
			old.crash()
			s, err := startServer(m, newID(), 0)
			if err != nil {
				f.record.print("cannot start a server: %v", err)
				return
			}
			m.server = s
			f.record.print("server %s of %s crashed; %s is up at the same address", old.id, m.name, s.id)
		}
		time.Sleep(settling)
		if trouble {
			f.record.print("%d heartbeats of %s arrive late", heldUp, old.id)
			for i := range int64(heldUp) {
				go m.put(old.id, old.beatBody(old.seq.Load()+1+i))
			}
		}
		time.Sleep(watching)
		if len(f.judge.verdict()) > 0 {
			break
		}
	}
	close(stop)
	<-ended
}
