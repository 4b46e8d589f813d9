// Package notice takes the announcements of the target beside the daemon.
//
// A target announces itself once a second while it is up, with a boot text that is
// new for each of its starts. Before it stops it withdraws; the answer comes once
// it gets no new work and no request is in flight at it.
package notice

import (
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"verbenabank/core/command/agent"
)

// Every is the time between two announcements in milliseconds.
const Every = 1000

// maxName is the greatest length of a service name or boot text in bytes.
const maxName = 128

// Receiver hands announcements to the control goroutine. It is safe for concurrent
// use.
type Receiver struct {
	post func(agent.Event)
	take func(agent.Event, func())
	beat func()

	mu      sync.Mutex
	waiting []chan struct{}
}

// New returns a notice whose events go to post.
func New(post func(agent.Event), opts ...Option) *Receiver {
	n := &Receiver{post: post, take: func(e agent.Event, done func()) { post(e); done() }, beat: func() {}}
	for _, o := range opts {
		o(n)
	}
	return n
}

// Option sets one property of a Notice.
type Option func(*Receiver)

// WithConfirmedPost sets what hands the agent an event and calls a function once it has taken it.
func WithConfirmedPost(take func(agent.Event, func())) Option {
	return func(n *Receiver) { n.take = take }
}

// WithOnHeartbeat sets what is called at each beat.
func WithOnHeartbeat(beat func()) Option { return func(n *Receiver) { n.beat = beat } }

// takeWithin bounds how long a beat waits for the agent.
const takeWithin = 500 * time.Millisecond

// Heartbeat takes the word of the target and reports whether the agent has it, so that it may be
// acknowledged.
func (n *Receiver) Heartbeat(b agent.Heartbeat) bool {
	n.beat()
	taken := make(chan struct{})
	go n.take(b, func() { close(taken) })
	t := time.NewTimer(takeWithin)
	defer t.Stop()
	select {
	case <-taken:
		return true
	case <-t.C:
		return false
	}
}

// Register adds the commands to the admin server.
func (n *Receiver) Register(r fiber.Router) {
	r.Post("/announce", n.announce)
	r.Delete("/announce", n.withdraw)
}

func (n *Receiver) announce(c fiber.Ctx) error {
	var body struct {
		Service string `json:"service"`
		Address string `json:"address"`
		Boot    string `json:"boot"`
	}
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return refuse(c, "the body must be JSON with service, address and boot")
	}
	if body.Service == "" || len(body.Service) > maxName {
		return refuse(c, "service must be the name of a service, of 1 to 128 bytes")
	}
	if body.Boot == "" || len(body.Boot) > maxName {
		return refuse(c, "boot must be a text of 1 to 128 bytes, new for each start of the target")
	}
	if _, err := netip.ParseAddrPort(body.Address); err != nil {
		return refuse(c, "address must be an IP number and a port")
	}
	n.post(agent.NewAnnounced(body.Service, body.Address, body.Boot))
	return c.JSON(struct {
		Every int `json:"every_ms"`
	}{Every: Every})
}

func refuse(c fiber.Ctx, problem string) error {
	return c.Status(fiber.StatusBadRequest).JSON(struct {
		Error string `json:"error"`
	}{Error: problem})
}

// withdraw answers once the target may stop.
func (n *Receiver) withdraw(c fiber.Ctx) error {
	freed := make(chan struct{})
	n.mu.Lock()
	n.waiting = append(n.waiting, freed)
	n.mu.Unlock()
	n.post(agent.Withdrawn{})
	<-freed
	return c.SendStatus(fiber.StatusNoContent)
}

// CompleteWithdrawals answers the withdrawals.
func (n *Receiver) CompleteWithdrawals() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.waiting {
		close(f)
	}
	n.waiting = nil
}
