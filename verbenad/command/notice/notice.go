// Package notice receives the announcements and heartbeats of the target on this instance.
//
// A target announces itself once a second while it runs, with a boot text that is new for each
// start of its process. Before it exits it withdraws the announcement; the response to that is sent
// once the target gets no new requests and none is in flight.
package notice

import (
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"verbenabank/core/command/agent"
)

// AnnounceIntervalMs is the interval of announcements in milliseconds, as the target is told.
const AnnounceIntervalMs = 1000

// maxNameBytes is the maximum length of a service name or boot text.
const maxNameBytes = 128

// Receiver passes announcements and heartbeats as events to the control goroutine. It is safe for
// concurrent use.
type Receiver struct {
	post          func(agent.Event)
	postConfirmed func(agent.Event, func())
	onHeartbeat   func()

	mu          sync.Mutex
	withdrawals []chan struct{} // closed once the target may exit
}

// New returns a receiver that passes events to post, which may be called from many goroutines.
func New(post func(agent.Event), opts ...Option) *Receiver {
	n := &Receiver{post: post, postConfirmed: func(e agent.Event, processed func()) { post(e); processed() }, onHeartbeat: func() {}}
	for _, o := range opts {
		o(n)
	}
	return n
}

// Option configures a Receiver.
type Option func(*Receiver)

// WithConfirmedPost sets the function that passes heartbeats to the control goroutine. It must call its
// second argument once, when the agent has processed the event. By default that is as soon as post
// returns.
func WithConfirmedPost(post func(agent.Event, func())) Option {
	return func(n *Receiver) { n.postConfirmed = post }
}

// WithOnHeartbeat sets a function that is called on each heartbeat, before the agent gets it.
func WithOnHeartbeat(f func()) Option { return func(n *Receiver) { n.onHeartbeat = f } }

// confirmTimeout limits how long a heartbeat waits for the agent.
const confirmTimeout = 500 * time.Millisecond

// Heartbeat passes a heartbeat of the target to the agent. It reports whether the agent processed it
// within 500 ms; only then may the heartbeat be acknowledged.
func (n *Receiver) Heartbeat(h agent.Heartbeat) bool {
	n.onHeartbeat()
	processed := make(chan struct{})
	go n.postConfirmed(h, func() { close(processed) })
	t := time.NewTimer(confirmTimeout)
	defer t.Stop()
	select {
	case <-processed:
		return true
	case <-t.C:
		return false
	}
}

// Register adds the endpoints for announcements and their withdrawal to the admin server.
func (n *Receiver) Register(r fiber.Router) {
	r.Post("/announce", n.announce)
	r.Delete("/announce", n.withdraw)
}

// announce validates an announcement and passes it on. The response holds the interval until the
// next one.
func (n *Receiver) announce(c fiber.Ctx) error {
	var body struct {
		Service string `json:"service"`
		Address string `json:"address"`
		Boot    string `json:"boot"`
	}
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return reject(c, "the body must be JSON with service, address and boot")
	}
	if body.Service == "" || len(body.Service) > maxNameBytes {
		return reject(c, "service must be the name of a service, of 1 to 128 bytes")
	}
	if body.Boot == "" || len(body.Boot) > maxNameBytes {
		return reject(c, "boot must be a text of 1 to 128 bytes, new for each start of the target")
	}
	if _, err := netip.ParseAddrPort(body.Address); err != nil {
		return reject(c, "address must be an IP number and a port")
	}
	n.post(agent.NewAnnounced(body.Service, body.Address, body.Boot))
	return c.JSON(struct {
		Every int `json:"every_ms"`
	}{Every: AnnounceIntervalMs})
}

func reject(c fiber.Ctx, problem string) error {
	return c.Status(fiber.StatusBadRequest).JSON(struct {
		Error string `json:"error"`
	}{Error: problem})
}

// withdraw responds when the target may exit: CompleteWithdrawals lets it continue.
func (n *Receiver) withdraw(c fiber.Ctx) error {
	released := make(chan struct{})
	n.mu.Lock()
	n.withdrawals = append(n.withdrawals, released)
	n.mu.Unlock()
	n.post(agent.Withdrawn{})
	<-released
	return c.SendStatus(fiber.StatusNoContent)
}

// CompleteWithdrawals lets all pending withdrawals respond: no request is in flight at the target any more.
func (n *Receiver) CompleteWithdrawals() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.withdrawals {
		close(w)
	}
	n.withdrawals = nil
}
