package raft

import (
	"encoding/binary"
	"fmt"
	"strings"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
	"verbenabank/core/wire/peers"
)

// host runs a node with a simulated disk and state machine.
type host struct {
	cluster       *cluster
	number        int
	address       string
	seeds         []string
	node          *Node
	inbox         []peer.Message
	frozenUntil   clock.Millis // the process is paused until then
	lag           clock.Millis // extra delay of messages to the host
	lagUntil      clock.Millis // end of the extra delay
	downUntil     clock.Millis // when a stopped process starts again
	fullUntil     clock.Millis // the disk is full until then: it stores nothing, and no process starts
	clockRate     clock.Millis // clock rate in thousandths of real time
	clockBase     clock.Millis // clock reading when the rate last changed
	clockSince    clock.Millis // when the rate last changed
	syncMax       int          // maximum duration of a sync in ms
	disk          peer.StoredState
	pending       []unsynced
	index         peer.Index
	state         uint64
	value         uint64 // the token in the last command
	wiped         int
	minVoters     int     // minimum number of voters with open membership, 0 if membership is not open
	removed       bool    // the machine was removed for good
	pendingEvents []Event // to handle after the effects of the current step
}

// unsynced is a batch that is not durable yet.
type unsynced struct {
	at    clock.Millis
	batch peer.Batch
}

// localTime reads the clock of the host, which never steps.
func (h *host) localTime() clock.Millis {
	return h.clockBase + (h.cluster.now-h.clockSince)*h.clockRate/1000
}

// setClockRate changes the rate of the host's clock from now on.
func (h *host) setClockRate(rate clock.Millis) {
	h.clockBase, h.clockSince, h.clockRate = h.localTime(), h.cluster.now, rate
}

func (h *host) start() {
	r := h.cluster.random
	options := []Option{
		WithAddress(h.address), WithSeeds(h.seeds...), WithBootstrap(!h.cluster.bootstrapped), WithTrailingEntries(20), WithChunkSize(64), WithMaxRequestBytes(200),
		WithRandom(r.Uint64(), r.Uint64()), WithStored(h.disk),
	}
	if h.minVoters > 0 {
		options = append(options, WithOpenMembership(h.minVoters))
	}
	h.node = New(options...)
	h.inbox, h.pending, h.index, h.state, h.value = nil, nil, 0, 0, 0
	h.step(Started{})
}

// crash stops the process. Any prefix of the writes that were not synced may have reached the disk.
func (h *host) crash() {
	if h.node == nil {
		return
	}
	kept := h.cluster.random.IntN(len(h.pending) + 1)
	for _, p := range h.pending[:kept] {
		h.persist(p.batch)
	}
	if h.cluster.disabled.forgetVote {
		d := h.disk.HardState()
		h.disk = peer.NewStoredState(peer.NewHardState(d.ID(), d.Group(), d.Term(), 0, d.Commit()), h.disk.Snapshot(), h.disk.Entries())
	}
	h.node, h.pending, h.inbox = nil, nil, nil
}

func (h *host) persist(b peer.Batch) {
	h.disk = stored(h.disk, b)
	h.cluster.check.persisted(h, b)
}

// wipe stops the process and erases the disk.
func (h *host) wipe() {
	h.crash()
	h.wiped++
	d := h.disk.HardState()
	h.disk = peer.StoredState{}
	if h.cluster.disabled.keepIdentity && d.Group() != 0 {
		first := h.cluster.check.first
		h.disk = peer.NewStoredState(peer.NewHardState(d.ID(), d.Group(), 1, 0, 1), peer.Snapshot{}, []peer.Entry{first})
	}
}

func (h *host) enqueue(m peer.Message) {
	if h.node != nil {
		h.inbox = append(h.inbox, m)
	}
}

func (h *host) tick() {
	cl := h.cluster
	if h.node == nil {
		if !h.removed && cl.now >= max(h.downUntil, h.fullUntil) {
			h.start()
		}
		return
	}
	if cl.now < h.frozenUntil {
		return
	}
	var durable uint64
	for len(h.pending) > 0 && max(h.pending[0].at, h.fullUntil) <= cl.now {
		durable = h.pending[0].batch.Sequence()
		h.persist(h.pending[0].batch)
		h.pending = h.pending[1:]
	}
	if durable > 0 {
		h.step(NewPersisted(durable))
		if vote := h.disk.HardState().Vote(); cl.disabled.forgetVote && vote != 0 && vote != h.disk.HardState().ID() && cl.random.IntN(2) == 0 {
			h.crash()
			h.start()
			return
		}
	}
	inbox := h.inbox
	h.inbox = nil
	for _, m := range inbox {
		h.step(NewReceived(m))
	}
	if h.localTime() >= h.node.NextTick() {
		h.step(Ticked{})
	}
}

func (h *host) step(e Event) {
	if h.node == nil {
		return
	}
	for _, f := range h.node.Step(h.localTime(), e) {
		h.execute(f)
	}
	h.cluster.check.recordRounds(h)
	if h.node.failed == nil && h.node.NextTick() <= h.localTime() {
		h.cluster.check.fail("spin: the next tick of host %d is due at %d, but it is %d already", h.number, h.node.NextTick(), h.localTime())
	}
	for len(h.pendingEvents) > 0 {
		next := h.pendingEvents[0]
		h.pendingEvents = h.pendingEvents[1:]
		h.step(next)
	}
}

func (h *host) requestConfirm(token uint64) {
	h.cluster.check.confirmRequested(h, token)
	h.step(NewConfirmRequested(token))
}

func (h *host) execute(f Effect) {
	cl := h.cluster
	switch f := f.(type) {
	case Send:
		cl.send(h, f)
	case Persist:
		h.write(f.Batch())
	case Apply:
		h.apply(f.Entries())
	case Restore:
		s := f.Snapshot()
		h.index, h.state, h.value = s.Index(), binary.BigEndian.Uint64(s.Data()), binary.BigEndian.Uint64(s.Data()[8:])
		cl.check.checkState(h, "restore")
	case Confirmed:
		cl.check.confirmed(h, f.Tokens())
	case Dropped:
	case RoleChanged:
		cl.check.roleChanged(h, f)
	case InvariantViolated:
		cl.check.fail("node %d: %v", h.number, f.Err())
	}
}

func (h *host) write(b peer.Batch) {
	cl := h.cluster
	cl.check.written(h, b)
	if cl.codecRandom.IntN(8) == 0 {
		b = h.roundTrip(b)
	}
	at := cl.now + 1 + clock.Millis(cl.random.IntN(h.syncMax))
	if k := len(h.pending); k > 0 {
		at = max(at, h.pending[k-1].at)
	}
	h.pending = append(h.pending, unsynced{at: at, batch: b})
	if cl.disabled.ackBeforeSync {
		h.pendingEvents = append(h.pendingEvents, NewPersisted(b.Sequence()))
	}
}

// roundTrip encodes and decodes a batch.
func (h *host) roundTrip(b peer.Batch) peer.Batch {
	record, err := peers.MarshalBatch(b)
	back, refused := peers.UnmarshalBatch(record)
	if err != nil || refused != nil {
		h.cluster.check.fail("codec: %v %v: %+v", err, refused, b)
	}
	s := b.Snapshot()
	if s.Index() > 0 {
		record, err = peers.MarshalSnapshot(s)
		s, refused = peers.UnmarshalSnapshot(record)
		if err != nil || refused != nil {
			h.cluster.check.fail("codec: %v %v: %+v", err, refused, b)
		}
	}
	return peer.NewBatch(b.Sequence(), back.HardState(), s, back.Entries())
}

func (h *host) apply(entries []Committed) {
	for _, c := range entries {
		e := c.Entry()
		if e.Index() != h.index+1 {
			h.cluster.check.fail("host %d applied index %d after index %d", h.number, e.Index(), h.index)
			return
		}
		h.index = e.Index()
		if p, ok := e.Payload().(peer.Command); ok {
			h.state = digest(h.state, p.Data())
			_, _ = fmt.Sscanf(string(p.Data()), "command %d", &h.value)
			h.cluster.check.history.wrote(c.Token(), h.cluster.check.events)
		}
		h.cluster.check.committed(h, e)
		h.cluster.check.checkState(h, "apply")
	}
	if h.node.Status().First()+60 < h.index {
		data := binary.BigEndian.AppendUint64(nil, h.state)
		data = binary.BigEndian.AppendUint64(data, h.value)
		data = append(data, strings.Repeat("s", 500)...)
		h.pendingEvents = append(h.pendingEvents, NewSnapshotTaken(h.index, data))
	}
}

// stored returns what a storage with content s holds after a batch.
func stored(s peer.StoredState, b peer.Batch) peer.StoredState {
	if b.Snapshot().Index() > 0 {
		return peer.NewStoredState(b.HardState(), b.Snapshot(), b.Entries())
	}
	entries := s.Entries()
	if len(b.Entries()) > 0 {
		keep := int(b.Entries()[0].Index() - s.Snapshot().Index() - 1)
		entries = append(append([]peer.Entry(nil), entries[:keep]...), b.Entries()...)
	}
	return peer.NewStoredState(b.HardState(), s.Snapshot(), entries)
}
