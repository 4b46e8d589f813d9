package raft

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
	"verbenabank/core/wire/peers"
	"verbenabank/core/wire/wirepb"
)

// world is a fake network with hosts that each run one real Node. It moves in
// steps of a millisecond.
type world struct {
	random *rand.Rand
	coder  *rand.Rand // picks what goes through its encoding
	now    clock.Millis
	hosts  []*host
	posts  map[clock.Millis][]post // by when they arrive
	cut    map[[2]int]period       // when messages from one host to another are lost
	loss   float64
	double float64
	delay  int // greatest delay in ms
	weak   breakage
	// dropped reports whether a message from one host to another is lost, besides those lost at random.
	dropped func(from, to int, m peer.Message) bool
	lost    map[int]bool // hosts whose disks were lost and are not surely repaired
	founded bool         // from then on no replica may found a group
	check   *checker
	tokens  uint64
	steps   int
	faults  int
}

// period is the span between two instants.
type period struct{ from, until clock.Millis }

// post is a message on its way.
type post struct {
	from, to int
	message  peer.Message
}

// breakage removes one guard of the environment or of the protocol, so that a
// checker must find it.
type breakage struct {
	ackBeforeSync bool // the disk answers before data is durable
	forgetVote    bool // a crash loses the vote
	emptyMemory   bool // a lost disk keeps its identity
	forgeRound    bool // answers acknowledge rounds that did not start yet
	forgeLog      bool // candidates claim a longer log than theirs
	oldTerm       bool // followers acknowledge terms that are over
	forgeMatch    bool // requests claim to follow whatever the follower has
	dropHello     bool // nobody is greeted
	wipeFreely    bool // more disks are lost than the group bears
}

func newWorld(seed uint64, count int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), coder: rand.New(rand.NewPCG(seed, 8)), now: 1000, cut: map[[2]int]period{}, posts: map[clock.Millis][]post{}, lost: map[int]bool{},
		delay: 3, check: newChecker(),
	}
	var seeds []string
	for k := range count {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:1", k+1))
	}
	for k := range count {
		h := &host{world: w, number: k, address: seeds[k], seeds: seeds, syncMax: 8, rate: 1000}
		w.hosts = append(w.hosts, h)
		h.start()
	}
	return w
}

// run moves the world forward and returns the first broken invariant.
func (w *world) run(span clock.Millis) error {
	for end := w.now + span; w.now < end; {
		w.now++
		w.deliver()
		for _, h := range w.hosts {
			h.tick()
		}
		w.steps++
		if w.check.err != nil {
			return fmt.Errorf("at %d ms: %w", w.now, w.check.err)
		}
	}
	return nil
}

func (w *world) send(from *host, s Send) {
	w.check.sent(from, s.message)
	for _, to := range w.hosts {
		if to.address != s.address {
			continue
		}
		if w.dropped != nil && w.dropped(from.number, to.number, s.message) {
			continue
		}
		if _, ok := s.message.Body().(peer.Hello); ok && w.weak.dropHello && w.check.top > 0 {
			continue
		}
		for range w.copies() {
			at := w.now + 1 + clock.Millis(w.random.IntN(w.delay))
			if w.now < to.lagged {
				at += to.lag
			}
			if w.random.IntN(200) == 0 {
				at += clock.Millis(w.random.IntN(1000) * w.delay / 3)
			}
			w.posts[at] = append(w.posts[at], post{from: from.number, to: to.number, message: w.forge(to, w.coded(s.message))})
		}
	}
}

// coded sends some messages through their encoding.
func (w *world) coded(m peer.Message) peer.Message {
	if w.coder.IntN(8) != 0 {
		return m
	}
	data, err := proto.Marshal(peers.Encode(m))
	p := &wirepb.PeerMessage{}
	if err == nil {
		err = proto.Unmarshal(data, p)
	}
	back, refused := peers.Decode(p)
	if err != nil || refused != nil {
		w.check.fail("codec: %v %v: %+v", err, refused, m)
	}
	return back
}

func (w *world) copies() int {
	switch p := w.random.Float64(); {
	case p < w.loss:
		return 0
	case p < w.loss+w.double:
		return 2
	}
	return 1
}

func (w *world) deliver() {
	due := w.posts[w.now]
	delete(w.posts, w.now)
	for _, p := range due {
		if c := w.cut[[2]int{p.from, p.to}]; w.now < c.from || w.now >= c.until {
			w.hosts[p.to].take(p.message)
		}
	}
}

// forge changes messages as the breakage says.
func (w *world) forge(to *host, m peer.Message) peer.Message {
	route := peer.NewHeader(m.Group(), m.From(), m.Address(), m.To())
	switch b := m.Body().(type) {
	case peer.AppendRequest:
		if w.weak.forgeMatch && to.node != nil {
			t := to.node.log.termAt(b.PreviousIndex())
			return peer.NewMessage(route, m.Term(), peer.NewAppendRequest(b.PreviousIndex(), t, b.Commit(), b.Round(), b.Entries()))
		}
	case peer.AppendAccepted:
		if w.weak.forgeRound {
			return peer.NewMessage(route, m.Term(), peer.NewAppendAccepted(b.Match(), b.Round()+1<<20))
		}
	case peer.AppendRejected:
		if w.weak.oldTerm && m.Term() > 0 {
			return peer.NewMessage(route, m.Term()-1, peer.NewAppendAccepted(0, 1<<40))
		}
	case peer.VoteRequest:
		if w.weak.forgeLog {
			return peer.NewMessage(route, m.Term(), peer.NewVoteRequest(b.LastIndex()+1000, m.Term(), true))
		}
	case peer.PreVoteRequest:
		if w.weak.forgeLog {
			return peer.NewMessage(route, m.Term(), peer.NewPreVoteRequest(b.LastIndex()+1000, m.Term()))
		}
	}
	return m
}

// leader returns the host that leads at the newest term, nil if none does.
func (w *world) leader() *host {
	var found *host
	for _, h := range w.hosts {
		if h.node == nil {
			continue
		}
		s := h.node.Status()
		if _, ok := s.Role().(Leader); ok && (found == nil || s.Term() > found.node.Status().Term()) {
			found = h
		}
	}
	return found
}

// traffic offers commands to, and asks questions of, all hosts that lead.
func (w *world) traffic() {
	for _, h := range w.hosts {
		if h.node == nil || !h.node.leads() {
			continue
		}
		if w.random.IntN(3) == 0 {
			w.tokens++
			w.check.history.called(w.tokens, write(w.tokens), w.check.events)
			h.step(NewProposed(w.tokens, fmt.Appendf(nil, "command %d", w.tokens)))
		}
		if w.random.IntN(3) == 0 {
			w.tokens++
			w.check.history.called(w.tokens, read{}, w.check.events)
			h.ask(w.tokens)
		}
	}
}

// heal ends all faults.
func (w *world) heal() {
	clear(w.cut)
	w.loss, w.double, w.delay = 0, 0, 3
	late := w.now + 500
	for _, at := range slices.Sorted(maps.Keys(w.posts)) {
		if at > late {
			w.posts[late] = append(w.posts[late], w.posts[at]...)
			delete(w.posts, at)
		}
	}
	for _, h := range w.hosts {
		h.drift(1000)
		h.frozen, h.lagged, h.syncMax = 0, 0, 8
		if h.node == nil && !h.gone {
			h.start()
		}
	}
}

func digest(last uint64, data []byte) uint64 {
	f := fnv.New64a()
	_, _ = fmt.Fprintf(f, "%d %s", last, data)
	return f.Sum64()
}
