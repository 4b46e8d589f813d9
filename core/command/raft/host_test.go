package raft

import (
	"encoding/binary"
	"fmt"
	"strings"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
	"verbenabank/core/wire/peers"
)

// host runs a node with a fake disk and a fake state machine.
type host struct {
	world   *world
	number  int
	address string
	seeds   []string
	node    *Node
	inbox   []peer.Message
	frozen  clock.Millis // until then it does nothing
	lag     clock.Millis // extra delay of messages to it
	lagged  clock.Millis // until when
	down    clock.Millis // when a stopped process starts again
	rate    clock.Millis // of its clock, in thousandths
	base    clock.Millis // its clock when the rate last changed
	since   clock.Millis // when that was
	syncMax int          // greatest time of a sync in ms
	disk    peer.StoredState
	pending []unsynced
	index   peer.Index
	state   uint64
	value   uint64 // the token in the last command
	wiped   int
	open    int     // least count of voters of an open group, 0 if it is not open
	gone    bool    // its machine was taken away for good
	later   []Event // to take after the effects of the present step
}

// unsynced is a batch that is not yet durable.
type unsynced struct {
	at    clock.Millis
	batch peer.Batch
}

// local reads the clock of the host, which never steps.
func (h *host) local() clock.Millis { return h.base + (h.world.now-h.since)*h.rate/1000 }

// drift lets the clock of the host run at another rate.
func (h *host) drift(rate clock.Millis) {
	h.base, h.since, h.rate = h.local(), h.world.now, rate
}

func (h *host) start() {
	r := h.world.random
	options := []Option{
		WithAddress(h.address), WithSeeds(h.seeds...), WithBootstrap(!h.world.founded), WithTrail(20), WithChunk(64), WithLimit(200),
		WithRandom(r.Uint64(), r.Uint64()), WithStored(h.disk),
	}
	if h.open > 0 {
		options = append(options, WithOpenMembership(h.open))
	}
	h.node = New(options...)
	h.inbox, h.pending, h.index, h.state, h.value = nil, nil, 0, 0, 0
	h.step(Started{})
}

// crash stops the process. Of the writes that were not synced any number may
// have reached the disk.
func (h *host) crash() {
	if h.node == nil {
		return
	}
	kept := h.world.random.IntN(len(h.pending) + 1)
	for _, p := range h.pending[:kept] {
		h.persist(p.batch)
	}
	if h.world.weak.forgetVote {
		d := h.disk.HardState()
		h.disk = peer.NewStoredState(peer.NewHardState(d.ID(), d.Group(), d.Term(), 0, d.Commit()), h.disk.Snapshot(), h.disk.Entries())
	}
	h.node, h.pending, h.inbox = nil, nil, nil
}

func (h *host) persist(b peer.Batch) {
	h.disk = stored(h.disk, b)
	h.world.check.persisted(h, b)
}

// wipe stops the process and loses the disk.
func (h *host) wipe() {
	h.crash()
	h.wiped++
	d := h.disk.HardState()
	h.disk = peer.StoredState{}
	if h.world.weak.emptyMemory && d.Group() != 0 {
		first := h.world.check.first
		h.disk = peer.NewStoredState(peer.NewHardState(d.ID(), d.Group(), 1, 0, 1), peer.Snapshot{}, []peer.Entry{first})
	}
}

func (h *host) take(m peer.Message) {
	if h.node != nil {
		h.inbox = append(h.inbox, m)
	}
}

func (h *host) tick() {
	w := h.world
	if h.node == nil {
		if !h.gone && w.now >= h.down {
			h.start()
		}
		return
	}
	if w.now < h.frozen {
		return
	}
	var durable uint64
	for len(h.pending) > 0 && h.pending[0].at <= w.now {
		durable = h.pending[0].batch.Sequence()
		h.persist(h.pending[0].batch)
		h.pending = h.pending[1:]
	}
	if durable > 0 {
		h.step(NewPersisted(durable))
		if vote := h.disk.HardState().Vote(); w.weak.forgetVote && vote != 0 && vote != h.disk.HardState().ID() && w.random.IntN(2) == 0 {
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
	if h.local() >= h.node.NextTick() {
		h.step(Ticked{})
	}
}

func (h *host) step(e Event) {
	if h.node == nil {
		return
	}
	for _, f := range h.node.Step(h.local(), e) {
		h.obey(f)
	}
	h.world.check.rounds(h)
	if h.node.failed == nil && h.node.NextTick() <= h.local() {
		h.world.check.fail("spin: host %d wants to wake at %d, it is %d", h.number, h.node.NextTick(), h.local())
	}
	for len(h.later) > 0 {
		next := h.later[0]
		h.later = h.later[1:]
		h.step(next)
	}
}

func (h *host) ask(token uint64) {
	h.world.check.asked(h, token)
	h.step(NewConfirmRequested(token))
}

func (h *host) obey(f Effect) {
	w := h.world
	switch f := f.(type) {
	case Send:
		w.send(h, f)
	case Persist:
		h.write(f.Batch())
	case Apply:
		h.apply(f.Entries())
	case Restore:
		s := f.Snapshot()
		h.index, h.state, h.value = s.Index(), binary.BigEndian.Uint64(s.Data()), binary.BigEndian.Uint64(s.Data()[8:])
		w.check.reached(h, "restore")
	case Confirmed:
		w.check.confirmed(h, f.Tokens())
	case Dropped:
	case RoleChanged:
		w.check.became(h, f)
	case InvariantViolated:
		w.check.fail("node %d: %v", h.number, f.Err())
	}
}

func (h *host) write(b peer.Batch) {
	w := h.world
	w.check.written(h, b)
	if w.coder.IntN(8) == 0 {
		b = h.coded(b)
	}
	at := w.now + 1 + clock.Millis(w.random.IntN(h.syncMax))
	if k := len(h.pending); k > 0 {
		at = max(at, h.pending[k-1].at)
	}
	h.pending = append(h.pending, unsynced{at: at, batch: b})
	if w.weak.ackBeforeSync {
		h.later = append(h.later, NewPersisted(b.Sequence()))
	}
}

// coded sends a batch through its encoding.
func (h *host) coded(b peer.Batch) peer.Batch {
	record, err := peers.MarshalBatch(b)
	back, refused := peers.UnmarshalBatch(record)
	if err != nil || refused != nil {
		h.world.check.fail("codec: %v %v: %+v", err, refused, b)
	}
	s := b.Snapshot()
	if s.Index() > 0 {
		record, err = peers.MarshalSnapshot(s)
		s, refused = peers.UnmarshalSnapshot(record)
		if err != nil || refused != nil {
			h.world.check.fail("codec: %v %v: %+v", err, refused, b)
		}
	}
	return peer.NewBatch(b.Sequence(), back.HardState(), s, back.Entries())
}

func (h *host) apply(entries []Committed) {
	for _, c := range entries {
		e := c.Entry()
		if e.Index() != h.index+1 {
			h.world.check.fail("host %d applied %d after %d", h.number, e.Index(), h.index)
			return
		}
		h.index = e.Index()
		if p, ok := e.Payload().(peer.Command); ok {
			h.state = digest(h.state, p.Data())
			_, _ = fmt.Sscanf(string(p.Data()), "command %d", &h.value)
			h.world.check.history.wrote(c.Token(), h.world.check.events)
		}
		h.world.check.committed(h, e)
		h.world.check.reached(h, "apply")
	}
	if h.node.Status().First()+60 < h.index {
		data := binary.BigEndian.AppendUint64(nil, h.state)
		data = binary.BigEndian.AppendUint64(data, h.value)
		data = append(data, strings.Repeat("s", 500)...)
		h.later = append(h.later, NewSnapshotTaken(h.index, data))
	}
}

// stored is what a storage holds after a batch.
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
