package leader_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/leader"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const (
	orderedService = "ledger"
	grantKeys      = 12
	grantDaemons   = 3
)

// grantLeaseParams are leases that are longer than a target is silent.
var grantLeaseParams = lease.NewParams(4*clock.Second, 100*clock.Millisecond, 500*clock.Millisecond, clock.Second)

// grantSimulation is a deterministic simulation of daemons whose targets get their keys by calls, with a leader that
// is never lost. Agents, hold trackers, leader and log commands are the real ones.
type grantSimulation struct {
	timeline
	mutation    mutation
	index       uint64
	lastCommit  clock.Millis
	state       *fleet.State
	leader      *leader.Leader
	sessions    map[leader.SessionID]*grantDaemon
	lastSession leader.SessionID
	daemons     []*grantDaemon
	holders     [grantKeys]struct {
		epoch  table.Epoch
		holder *process
	}
	calm                  bool // no more faults
	begun, moves, crashes int
}

func newGrantSimulation(seed uint64, m mutation) *grantSimulation {
	sm := &grantSimulation{
		timeline: timeline{rand: rand.New(rand.NewPCG(seed, 2)), now: 10_000},
		mutation: m, state: fleet.New(), sessions: map[leader.SessionID]*grantDaemon{},
	}
	sm.leader = leader.New(sm.now, groupID, sm.state, leader.WithLeaseParams(grantLeaseParams))
	kind := rules.NewOrdered(rules.NewHeader("key"), grantKeys)
	sm.commit(logcmd.NewSetRules(rules.New(1, "d", rules.NewService(orderedService, rules.WithKind(kind), rules.WithWarmUp(0))), "i", "f"))
	for n := range grantDaemons {
		d := &grantDaemon{sim: sm, name: fmt.Sprint("d", n)}
		sm.daemons = append(sm.daemons, d)
		d.start()
		d.startProcess(rarely)
		sm.after(refusalsForLoss, d.watch)
		sm.after(1, d.work)
	}
	sm.after(1, sm.tickLeader)
	return sm
}

// delay returns a short delay of a message.
func (sm *grantSimulation) delay() clock.Millis { return 1 + sm.randomUpTo(4) }

// run processes events until the instant or the first violation.
func (sm *grantSimulation) run(until clock.Millis) { sm.runUntil(until, sm.check) }

func (sm *grantSimulation) commit(c logcmd.Command) {
	sm.index++
	var effects []apply.Effect
	sm.state, effects = apply.Apply(sm.state, sm.index, 0, c)
	sm.stepLeader(leader.NewApplied(sm.state, c, effects))
}

func (sm *grantSimulation) tickLeader() {
	if sm.leader.NextTick() <= sm.now {
		sm.stepLeader(leader.Ticked{})
	}
	sm.after(max(1, min(50, sm.leader.NextTick().Sub(sm.now))), sm.tickLeader)
}

func (sm *grantSimulation) stepLeader(e leader.Event) {
	for _, f := range sm.leader.Step(sm.now, e) {
		switch f := f.(type) {
		case leader.Propose:
			sm.lastCommit = max(sm.lastCommit, sm.now+sm.randomUpTo(10)) // the log keeps the order of proposals
			sm.after(sm.lastCommit-sm.now, func() { sm.commit(f.Command()) })
		case leader.Confirm:
			sm.after(2, func() { sm.stepLeader(leader.NewConfirmed(f.Token())) })
		case leader.SendLease:
			sm.deliver(f.Session(), agent.NewLeaseGranted(f.Sequence(), f.TTL(), f.RulesTTL(), f.Version(), groupID))
		case leader.SendUpdate:
			u := f.Update()
			sm.deliver(f.Session(), agent.NewTableUpdated(u.Full(), u.From(), u.To(), u.Changes()))
		case leader.SendRejoin:
			sm.deliver(f.Session(), agent.NewRejoinRequired(f.Incarnation()))
		}
	}
}

// deliver delivers a message of the leader, in order.
func (sm *grantSimulation) deliver(s leader.SessionID, e agent.Event) {
	sm.after(2, func() {
		if d, ok := sm.sessions[s]; ok {
			d.step(d.generation, e)
		}
	})
}

// How often the wall clock was set back before a process starts: one time in so many.
const (
	rarely = 8
	often  = 2
)

// inject injects one fault or move after the other until the instant.
func (sm *grantSimulation) inject(until clock.Millis) {
	if sm.now >= until {
		sm.calm = true
		return
	}
	d := sm.daemons[sm.rand.IntN(len(sm.daemons))]
	switch sm.rand.IntN(12) {
	case 0:
		sm.replace(d, rarely)
	case 1:
		if p := d.listener; p != nil {
			p.freeze(sm.randomUpTo(6 * clock.Second))
		}
	case 2:
		d.disconnect(d.session)
	case 3:
		sm.after(sm.randomUpTo(300), d.start)
	case 4:
		sm.closePort(d)
	case 5: // the next daemon hears the old process or the new one first
		sm.replace(d, often)
		sm.after(sm.randomUpTo(maxHeartbeatDelay), d.start)
	default:
		sm.move()
	}
	sm.after(50+sm.randomUpTo(700), func() { sm.inject(until) })
}

// replace crashes a process. The next one starts a moment later, or some time.
func (sm *grantSimulation) replace(d *grantDaemon, clockSetBack int) {
	p := d.listener
	if p == nil {
		return
	}
	sm.crashes++
	p.crash()
	d.listener = nil
	down := sm.randomUpTo(60)
	if sm.rand.IntN(3) == 0 {
		down = sm.randomUpTo(3 * clock.Second)
	}
	sm.after(down, func() { d.startProcess(clockSetBack) })
}

// closePort lets a process close its port and end some time later.
func (sm *grantSimulation) closePort(d *grantDaemon) {
	if p := d.listener; p != nil && p.listens {
		p.listens = false
		sm.after(sm.randomUpTo(2*clock.Second), func() {
			if d.listener == p {
				sm.replace(d, rarely)
			}
		})
	}
}

// move moves some keys of a member to another one.
func (sm *grantSimulation) move() {
	first := table.Key(sm.rand.IntN(grantKeys))
	s, ok := sm.state.Table().SpanAt(orderedService, first)
	o, owned := s.Ownership().(table.Owned)
	if !ok || !owned {
		return
	}
	last := first + table.Key(sm.rand.IntN(int(s.Last()-first)+1))
	for _, m := range sm.state.Table().MembersOf(orderedService) {
		if _, leaving := m.Phase().(table.Leaving); !leaving && m.Incarnation() != o.Owner() {
			sm.moves++
			sm.commit(logcmd.NewMoveSpan(orderedService, first, last, o.Epoch(), m.Incarnation()))
			return
		}
	}
}

// check verifies that no two processes that are up hold a key at the same time.
func (sm *grantSimulation) check() {
	var holders [grantKeys]*process
	for _, d := range sm.daemons {
		for _, p := range d.processes {
			if !p.up {
				continue
			}
			for k := range p.held {
				if !p.holds(k) {
					continue
				}
				if o := holders[k]; o != nil {
					sm.fail("key %d is held by %s at epoch %d and by %s at epoch %d", k, o.name, o.held[k].epoch, p.name, p.held[k].epoch)
				}
				holders[k] = p
			}
		}
	}
}

// checkTaken verifies that a process takes a key at an epoch above all at which others had it, and that no other one is
// at work on it.
func (sm *grantSimulation) checkTaken(p *process, k table.Key, e table.Epoch) {
	if h := &sm.holders[k]; h.holder != p && e <= h.epoch {
		sm.fail("%s takes key %d at epoch %d, but %s had it at %d", p.name, k, e, h.holder.name, h.epoch)
	}
	if e >= sm.holders[k].epoch {
		sm.holders[k].epoch, sm.holders[k].holder = e, p
	}
	for _, d := range sm.daemons {
		for _, o := range d.processes {
			if o != p && o.up && o.busyUntil[k] > sm.now && sm.now < o.grantEnds[k] {
				sm.fail("%s takes key %d while %s is at work on it", p.name, k, o.name)
			}
		}
	}
}

// The number of runs is grantSeeds unless GRANT_SEEDS is set, mutantSeeds for a mutant. grantRunTime is the time with
// faults of each run.
const (
	grantSeeds   = 120
	mutantSeeds  = 1000
	grantRunTime = 60 * clock.Second
)

// runGrants plays a seed. After the faults, each key must be held again.
func runGrants(seed uint64, m mutation) *grantSimulation {
	sm := newGrantSimulation(seed, m)
	end := sm.now + grantRunTime
	sm.after(3*clock.Second, func() { sm.inject(end) })
	sm.run(end + 25*clock.Second)
	for k := range table.Key(grantKeys) {
		served := false
		for _, d := range sm.daemons {
			served = served || (d.listener != nil && d.listener.holds(k))
		}
		if !served {
			sm.fail("nobody holds key %d at the end", k)
		}
	}
	return sm
}

// TestGrantsByCallsHaveOneHolder drives daemons whose targets get their keys by calls: processes crash and are replaced
// under a running daemon, freeze and close their port, heartbeats arrive late and out of order, calls get no answer
// and are applied late, daemons restart, keys are moved. No two processes hold a key at once, no epoch is taken twice,
// and all keys are held again afterwards.
func TestGrantsByCallsHaveOneHolder(t *testing.T) {
	begun, moves, crashes := 0, 0, 0
	seeds := uint64(grantSeeds)
	if n, err := strconv.ParseUint(os.Getenv("GRANT_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	for seed := range seeds {
		sm := runGrants(seed, noMutation)
		if sm.violation != "" {
			t.Fatalf("seed %d: %s", seed, sm.violation)
		}
		begun, moves, crashes = begun+sm.begun, moves+sm.moves, crashes+sm.crashes
	}
	t.Logf("%d requests, %d moves, %d processes replaced", begun, moves, crashes)
}

// TestGrantsToAnAddressAreDetected shows that the simulation finds grants that reach another process.
func TestGrantsToAnAddressAreDetected(t *testing.T) {
	for seed := range uint64(grantSeeds) {
		if runGrants(seed, grantsToAddress).violation != "" {
			return
		}
	}
	t.Error("the mutation was not detected")
}

// grantGuards are the guards of the code that keeps keys with the process that was granted them.
var grantGuards = []struct{ guard, file, old, new string }{
	{"a replaced target is no dead one", "../agent/target.go", "		a.drainReplacedTarget()\n", "		a.targetLost(NewTargetLost(Dead{}))\n"},
	{"a closed port is no end", "../agent/target.go", "if a.grantsByHeartbeat() {", "if true {"},
	{"a draining target holds keys", "../agent/shutdown.go", "if st.idle && (a.tracker == nil || a.tracker.HoldsNothing(a.now)) {", "if st.idle {"},
	{"a result is for the keys of its call", "../hold/calls.go", "	t.splitAtCall(c.call)\n", ""},
	{"an unanswered grant may take effect", "../hold/calls.go", "p.unansweredUntil = max(p.unansweredUntil, latestEnd(now, g.ttl))", "_ = latestEnd(now, g.ttl)"},
	{"a release waits for unanswered grants", "../hold/calls.go", "p.handover, p.mayHoldUntil = r.handover, p.unansweredUntil", "p.handover, p.mayHoldUntil = r.handover, 0"},
	{"an earlier process may have granted", "../hold/reconcile.go", "p.mayHoldUntil = latestEnd(now, t.maxTTL)", "p.mayHoldUntil = now"},
	{"a grant ends before the lease", "../hold/calls.go", "ttl = min(t.maxTTL, (t.leaseEnd-now-DeliveryMargin)*100/(100+clockDriftPercent))", "ttl = t.maxTTL"},
	{"a predecessor has ended if the target listens", "../agent/predecessor.go", "	case unidentified:\n", "	case unidentified:\n		for _, m := range list {\n			a.emit(SendGone{incarnation: m.Incarnation()})\n		}\n"},
	{"a predecessor keeps its keys", "member.go", "if len(predecessors) == 0 && !l.pending", "if !l.pending"},
}

// TestGrantGuards takes out one guard after the other and requires the simulation to fail. It runs only when MUTANTS is
// set.
func TestGrantGuards(t *testing.T) {
	if os.Getenv("MUTANTS") == "" {
		t.Skip("MUTANTS is not set")
	}
	for _, m := range grantGuards {
		t.Run(m.guard, func(t *testing.T) {
			run := exec.Command("go", "test", "-count=1", "-timeout", "5m", "-overlay", overlayWithout(t, m.file, m.old, m.new), "-run", "TestGrantsByCalls", ".")
			run.Env = append(os.Environ(), "MUTANTS=", fmt.Sprint("GRANT_SEEDS=", mutantSeeds))
			out, err := run.CombinedOutput()
			if strings.Contains(string(out), "build failed") || err == nil {
				t.Fatalf("the mutant survived: %s", out[:min(len(out), 2000)])
			}
			t.Log(string(out[:min(len(out), 300)]))
		})
	}
}

// overlayWithout writes the file for go test -overlay that replaces a text of a source file, which must occur once.
func overlayWithout(t *testing.T, file, old, replacement string) string {
	t.Helper()
	source, err := os.ReadFile(file)
	if err != nil || strings.Count(string(source), old) != 1 {
		t.Fatalf("%s must contain once: %q (%v)", file, old, err)
	}
	folder := t.TempDir()
	path, _ := filepath.Abs(file)
	changed, list := filepath.Join(folder, "changed.go"), filepath.Join(folder, "overlay.json")
	text, _ := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err := errors.Join(os.WriteFile(changed, []byte(strings.Replace(string(source), old, replacement, 1)), 0o600), os.WriteFile(list, text, 0o600)); err != nil {
		t.Fatal(err)
	}
	return list
}
