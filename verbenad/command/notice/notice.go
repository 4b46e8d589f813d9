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
	"github.com/sirupsen/logrus"

	"verbenabank/core/command/agent"
	"verbenabank/core/state/grant"
)

// AnnounceIntervalMs is the interval of announcements in milliseconds, as the target is told.
const AnnounceIntervalMs = 1000

// maxNameBytes is the maximum length of a service name or boot text.
const maxNameBytes = 128

// Receiver passes announcements and heartbeats as events to the control goroutine. It is safe for
// concurrent use.
type Receiver struct {
	post        func(agent.Event)
	onHeartbeat func(name string)
	log         *logrus.Entry

	mu          sync.Mutex
	withdrawals []chan struct{} // closed once the target may exit
	lastID      uint64          // of the last heartbeat
	unanswered  map[uint64]chan grant.Answer
	held        string // by the last heartbeat, as logged
	offered     string // by the last offer, as logged

	rejectLoggedAt time.Time
}

// New returns a receiver that passes events to post, which may be called from many goroutines.
func New(post func(agent.Event), opts ...Option) *Receiver {
	n := &Receiver{post: post, onHeartbeat: func(string) {}, log: logrus.NewEntry(logrus.StandardLogger()), unanswered: map[uint64]chan grant.Answer{}}
	for _, o := range opts {
		o(n)
	}
	return n
}

// Option configures a Receiver.
type Option func(*Receiver)

// WithLog sets the log, by default the standard logger.
func WithLog(e *logrus.Entry) Option { return func(n *Receiver) { n.log = e } }

// WithOnHeartbeat sets a function that is called on each heartbeat with the name of its sender, before the agent
// gets it.
func WithOnHeartbeat(f func(name string)) Option { return func(n *Receiver) { n.onHeartbeat = f } }

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
