// Package fleet runs the processes of a layout on this machine and does to them
// what an experiment asks for.
package fleet

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/vload/adapt/conf"
	"verbenabank/vload/adapt/proc"
	"verbenabank/vload/command/roster"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/plan"
)

const stopWithin = 15 * clock.Second // for one group of processes

// Fleet is the running processes of a layout. Its methods are safe for
// concurrent use.
type Fleet struct {
	layout  layout.Layout
	folder  string
	load    string
	daemon  string
	log     *logrus.Entry
	clock   *clock.Clock
	events  chan event
	stopped chan struct{}
	group   conc.WaitGroup
	waits   conc.WaitGroup

	// Of the control goroutine.
	roster    *roster.Roster
	processes map[string]*proc.Process
	stops     []stopping
}

// Option sets one property of a Fleet.
type Option func(*Fleet)

// WithLayout sets which processes there are.
func WithLayout(l layout.Layout) Option { return func(f *Fleet) { f.layout = l } }

// WithFolder sets the folder of settings, ledgers and logs. Those of an earlier
// run are removed.
func WithFolder(path string) Option { return func(f *Fleet) { f.folder = path } }

// WithBinaries sets the paths of vload and verbenad. Without verbenad there are
// only targets.
func WithBinaries(load, daemon string) Option {
	return func(f *Fleet) { f.load, f.daemon = load, daemon }
}

// WithLog sets where the fleet logs.
func WithLog(l *logrus.Logger) Option {
	return func(f *Fleet) { f.log = l.WithField("prefix", "fleet") }
}

// New writes the settings of all processes and starts them. The second result
// stops them gracefully and must be called; its error names those that did not
// end well.
func New(opts ...Option) (*Fleet, func() error, error) {
	f := &Fleet{
		folder: "run", clock: clock.New(), log: logrus.WithField("prefix", "fleet"),
		events: make(chan event), stopped: make(chan struct{}),
		processes: make(map[string]*proc.Process),
	}
	for _, o := range opts {
		o(f)
	}
	folder, err := filepath.Abs(f.folder)
	if err != nil {
		return nil, nil, fail("find folder", NotStarted, err)
	}
	f.folder = folder
	if err := f.write(); err != nil {
		return nil, nil, err
	}
	f.roster = roster.New(f.layout, f.daemon != "")
	f.group.Go(f.control)
	f.InjectFault(plan.NewFault(0, f.everything(), plan.Start{}))
	return f, f.stop, nil
}

// InjectFault does to the processes what a fault says.
func (f *Fleet) InjectFault(fault plan.Fault) { f.events <- acted{fault: fault} }

// Outages returns the times in which the run itself kept instances from working.
func (f *Fleet) Outages() []layout.Outage {
	reply := make(chan []layout.Outage, 1)
	f.events <- asked{reply: reply}
	return <-reply
}

// LedgerPaths returns the paths of the ledger files of all targets.
func (f *Fleet) LedgerPaths() []string {
	var paths []string
	for _, i := range f.layout.Instances() {
		paths = append(paths, filepath.Join(f.folder, i.Name(), conf.LedgerFile))
	}
	return paths
}

func (f *Fleet) everything() []string {
	var names []string
	for _, i := range f.layout.Instances() {
		names = append(names, i.Name())
	}
	return names
}

// stop ends targets, then daemons, then the daemons that are control replicas.
func (f *Fleet) stop() error {
	for _, names := range f.stages() {
		done := make(chan struct{})
		f.events <- ended{names: names, done: done}
		<-done
	}
	reply := make(chan []string, 1)
	f.events <- closed{reply: reply}
	failures := <-reply
	f.group.Wait()
	close(f.stopped)
	f.waits.Wait()
	if len(failures) > 0 {
		return fail("stop", BadExit, fmt.Errorf("%s", strings.Join(failures, "; ")))
	}
	return nil
}

func (f *Fleet) stages() [][]string {
	var targets, daemons, replicas []string
	for _, i := range f.layout.Instances() {
		targets = append(targets, i.Name()+roster.TargetSuffix)
		if f.replica(i) {
			replicas = append(replicas, i.Name()+roster.DaemonSuffix)
		} else {
			daemons = append(daemons, i.Name()+roster.DaemonSuffix)
		}
	}
	return [][]string{targets, daemons, replicas}
}
