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

// cluster simulates a network of hosts that each run one real Node. Time advances in steps of 1 ms.
type cluster struct {
	random      *rand.Rand
	codecRandom *rand.Rand // selects what is encoded and decoded
	now         clock.Millis
	hosts       []*host
	packets     map[clock.Millis][]packet // by time of arrival
	cut         map[[2]int]interval       // when messages from one host to another are lost
	loss        float64
	duplication float64
	delay       int // maximum delay in ms
	disabled    disabledGuard
	// dropped reports whether a message from one host to another is lost, in addition to random loss.
	dropped      func(from, to int, m peer.Message) bool
	lost         map[int]bool // hosts that lost their disks and may not be repaired yet
	bootstrapped bool         // if set, no replica may bootstrap a group any more
	check        *checker
	tokens       uint64
	steps        int
	faults       int
}

// interval is the time from one instant up to another, exclusive.
type interval struct{ from, until clock.Millis }

// packet is a message in transit.
type packet struct {
	from, to int
	message  peer.Message
}

// disabledGuard disables one guard of the environment or of the protocol, which a check must detect.
type disabledGuard struct {
	ackBeforeSync  bool // the disk confirms data before it is durable
	forgetVote     bool // a crash loses the vote
	keepIdentity   bool // a replica that lost its disk keeps its ID
	forgeRound     bool // replies acknowledge rounds that have not started yet
	forgeLog       bool // candidates claim a longer log than they have
	ackOldTerm     bool // followers acknowledge past terms
	forgeMatch     bool // append requests claim to match whatever the follower has
	dropHello      bool // Hello messages are lost
	exceedDiskLoss bool // more disks are lost than the group tolerates
}

func newCluster(seed uint64, count int) *cluster {
	cl := &cluster{
		random: rand.New(rand.NewPCG(seed, 7)), codecRandom: rand.New(rand.NewPCG(seed, 8)), now: 1000, cut: map[[2]int]interval{}, packets: map[clock.Millis][]packet{}, lost: map[int]bool{},
		delay: 3, check: newChecker(),
	}
	var seeds []string
	for k := range count {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:1", k+1))
	}
	for k := range count {
		h := &host{cluster: cl, number: k, address: seeds[k], seeds: seeds, syncMax: 8, clockRate: 1000}
		cl.hosts = append(cl.hosts, h)
		h.start()
	}
	return cl
}

// run advances the simulation and returns the first violated invariant.
func (cl *cluster) run(span clock.Millis) error {
	for end := cl.now + span; cl.now < end; {
		cl.now++
		cl.deliver()
		for _, h := range cl.hosts {
			h.tick()
		}
		cl.steps++
		if cl.check.err != nil {
			return fmt.Errorf("at %d ms: %w", cl.now, cl.check.err)
		}
	}
	return nil
}

func (cl *cluster) send(from *host, s Send) {
	cl.check.sent(from, s.message)
	for _, to := range cl.hosts {
		if to.address != s.address {
			continue
		}
		if cl.dropped != nil && cl.dropped(from.number, to.number, s.message) {
			continue
		}
		if _, ok := s.message.Body().(peer.Hello); ok && cl.disabled.dropHello && cl.check.lastCommitted > 0 {
			continue
		}
		for range cl.copies() {
			at := cl.now + 1 + clock.Millis(cl.random.IntN(cl.delay))
			if cl.now < to.lagUntil {
				at += to.lag
			}
			if cl.random.IntN(200) == 0 {
				at += clock.Millis(cl.random.IntN(1000) * cl.delay / 3)
			}
			cl.packets[at] = append(cl.packets[at], packet{from: from.number, to: to.number, message: cl.forge(to, cl.roundTrip(s.message))})
		}
	}
}

// roundTrip encodes and decodes one message in 8.
func (cl *cluster) roundTrip(m peer.Message) peer.Message {
	if cl.codecRandom.IntN(8) != 0 {
		return m
	}
	data, err := proto.Marshal(peers.Encode(m))
	p := &wirepb.PeerMessage{}
	if err == nil {
		err = proto.Unmarshal(data, p)
	}
	back, refused := peers.Decode(p)
	if err != nil || refused != nil {
		cl.check.fail("codec: %v %v: %+v", err, refused, m)
	}
	return back
}

func (cl *cluster) copies() int {
	switch p := cl.random.Float64(); {
	case p < cl.loss:
		return 0
	case p < cl.loss+cl.duplication:
		return 2
	}
	return 1
}

func (cl *cluster) deliver() {
	due := cl.packets[cl.now]
	delete(cl.packets, cl.now)
	for _, p := range due {
		if c := cl.cut[[2]int{p.from, p.to}]; cl.now < c.from || cl.now >= c.until {
			cl.hosts[p.to].enqueue(p.message)
		}
	}
}

// forge alters messages as the disabled guard requires.
func (cl *cluster) forge(to *host, m peer.Message) peer.Message {
	header := peer.NewHeader(m.Group(), m.From(), m.Address(), m.To())
	switch b := m.Body().(type) {
	case peer.AppendRequest:
		if cl.disabled.forgeMatch && to.node != nil {
			t := to.node.log.termAt(b.PreviousIndex())
			return peer.NewMessage(header, m.Term(), peer.NewAppendRequest(b.PreviousIndex(), t, b.Commit(), b.Round(), b.Entries()))
		}
	case peer.AppendAccepted:
		if cl.disabled.forgeRound {
			return peer.NewMessage(header, m.Term(), peer.NewAppendAccepted(b.Match(), b.Round()+1<<20))
		}
	case peer.AppendRejected:
		if cl.disabled.ackOldTerm && m.Term() > 0 {
			return peer.NewMessage(header, m.Term()-1, peer.NewAppendAccepted(0, 1<<40))
		}
	case peer.VoteRequest:
		if cl.disabled.forgeLog {
			return peer.NewMessage(header, m.Term(), peer.NewVoteRequest(b.LastIndex()+1000, m.Term(), true))
		}
	case peer.PreVoteRequest:
		if cl.disabled.forgeLog {
			return peer.NewMessage(header, m.Term(), peer.NewPreVoteRequest(b.LastIndex()+1000, m.Term()))
		}
	}
	return m
}

// leader returns the host that leads in the newest term, nil if there is none.
func (cl *cluster) leader() *host {
	var found *host
	for _, h := range cl.hosts {
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

// traffic proposes commands to, and requests confirmation from, all hosts that lead.
func (cl *cluster) traffic() {
	for _, h := range cl.hosts {
		if h.node == nil || !h.node.leads() {
			continue
		}
		if cl.random.IntN(3) == 0 {
			cl.tokens++
			cl.check.history.called(cl.tokens, write(cl.tokens), cl.check.events)
			h.step(NewProposed(cl.tokens, fmt.Appendf(nil, "command %d", cl.tokens)))
		}
		if cl.random.IntN(3) == 0 {
			cl.tokens++
			cl.check.history.called(cl.tokens, read{}, cl.check.events)
			h.requestConfirm(cl.tokens)
		}
	}
}

// heal ends all faults and starts the hosts that are down.
func (cl *cluster) heal() {
	clear(cl.cut)
	cl.loss, cl.duplication, cl.delay = 0, 0, 3
	late := cl.now + 500
	for _, at := range slices.Sorted(maps.Keys(cl.packets)) {
		if at > late {
			cl.packets[late] = append(cl.packets[late], cl.packets[at]...)
			delete(cl.packets, at)
		}
	}
	for _, h := range cl.hosts {
		h.setClockRate(1000)
		h.frozenUntil, h.lagUntil, h.syncMax = 0, 0, 8
		if h.node == nil && !h.removed {
			h.start()
		}
	}
}

func digest(last uint64, data []byte) uint64 {
	f := fnv.New64a()
	_, _ = fmt.Fprintf(f, "%d %s", last, data)
	return f.Sum64()
}
