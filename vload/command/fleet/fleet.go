// Package fleet runs the processes of a layout on this machine, injects the faults of an experiment and
// stops the processes gracefully.
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

const stopTimeout = 15 * clock.Second // for one group of processes

// Fleet supervises the processes of a layout. Its methods are safe for concurrent use until the fleet
// is stopped.
type Fleet struct {
	layout      layout.Layout
	folder      string
	vloadPath   string
	daemonPath  string
	log         *logrus.Entry
	clock       *clock.Clock
	events      chan event
	stopped     chan struct{}
	controlLoop conc.WaitGroup
	background  conc.WaitGroup

	// Owned by the control goroutine.
	table        *roster.ProcessTable
	processes    map[string]*proc.Process
	pendingStops []pendingStop
}

// Option sets one property of a Fleet.
type Option func(*Fleet)

// WithLayout sets the services, instances and addresses. It is required.
func WithLayout(l layout.Layout) Option { return func(f *Fleet) { f.layout = l } }

// WithFolder sets the folder of settings, ledgers and logs; the default is "run". Files of an earlier
// run are removed.
func WithFolder(path string) Option { return func(f *Fleet) { f.folder = path } }

// WithBinaries sets the paths of the vload and verbenad binaries. Without a path of verbenad, only
// targets are run.
func WithBinaries(vload, daemon string) Option {
	return func(f *Fleet) { f.vloadPath, f.daemonPath = vload, daemon }
}

// WithLog sets the logger; the default is the standard logger of logrus.
func WithLog(l *logrus.Logger) Option {
	return func(f *Fleet) { f.log = l.WithField("prefix", "fleet") }
}

// New writes the settings of all processes and starts them. The second result stops them gracefully
// and must be called; its error names the processes that failed to start, crashed, exited with an
// error or had to be killed.
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
	if err := f.writeFiles(); err != nil {
		return nil, nil, err
	}
	f.table = roster.New(f.layout, f.daemonPath != "")
	f.controlLoop.Go(f.control)
	f.InjectFault(plan.NewFault(0, f.instanceNames(), plan.Start{}))
	return f, f.stop, nil
}

// InjectFault injects a fault at once; the time in the fault is not used.
func (f *Fleet) InjectFault(fault plan.Fault) { f.events <- faultDue{fault: fault} }

// Outages returns the periods, up to now, in which a process of an instance was not running.
func (f *Fleet) Outages() []layout.Outage {
	reply := make(chan []layout.Outage, 1)
	f.events <- outagesRequested{reply: reply}
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

func (f *Fleet) instanceNames() []string {
	var names []string
	for _, i := range f.layout.Instances() {
		names = append(names, i.Name())
	}
	return names
}

// stop stops targets first, then daemons, then the daemons that are control replicas. It waits for each
// group before it stops the next one.
func (f *Fleet) stop() error {
	for _, names := range f.stopOrder() {
		done := make(chan struct{})
		f.events <- stopRequested{names: names, done: done}
		<-done
	}
	reply := make(chan []string, 1)
	f.events <- shutdownRequested{reply: reply}
	failures := <-reply
	f.controlLoop.Wait()
	close(f.stopped)
	f.background.Wait()
	if len(failures) > 0 {
		return fail("stop", BadExit, fmt.Errorf("%s", strings.Join(failures, "; ")))
	}
	return nil
}

// stopOrder returns the names of the processes in groups, in the order in which the groups are stopped.
func (f *Fleet) stopOrder() [][]string {
	var targets, daemons, replicas []string
	for _, i := range f.layout.Instances() {
		targets = append(targets, i.Name()+roster.TargetSuffix)
		if f.isReplica(i) {
			replicas = append(replicas, i.Name()+roster.DaemonSuffix)
		} else {
			daemons = append(daemons, i.Name()+roster.DaemonSuffix)
		}
	}
	return [][]string{targets, daemons, replicas}
}
