// Package ledger holds what a stand-in target wrote down about the requests that
// reached it.
package ledger

import "verbenabank/core/clock"

// Request is a request as the target was given it.
type Request struct {
	id     string
	key    string
	method string
	shard  uint32
	epoch  uint64
	lease  clock.Millis
	handle string
}

// NewRequest returns a request. The lease is the end of the owner's lease on the
// boot clock, 0 if the request carries none.
func NewRequest(id, key, method string, shard uint32, epoch uint64, lease clock.Millis) Request {
	return Request{id: id, key: key, method: method, shard: shard, epoch: epoch, lease: lease}
}

// WithDaemonRequestID returns the order with the name under which the daemon extends its lease.
func (o Request) WithDaemonRequestID(handle string) Request {
	o.handle = handle
	return o
}

// WithExtendedLease returns the order with a lease that ends at until or later.
func (o Request) WithExtendedLease(until clock.Millis) Request {
	o.lease = max(o.lease, until)
	return o
}

// DaemonRequestID returns the name under which the daemon extends the lease.
func (o Request) DaemonRequestID() string { return o.handle }

// ID returns the request ID that the caller chose.
func (o Request) ID() string { return o.id }

// Key returns the key of the request.
func (o Request) Key() string { return o.key }

// Method returns the HTTP method.
func (o Request) Method() string { return o.method }

// Shard returns the shard that the daemon named.
func (o Request) Shard() uint32 { return o.shard }

// Epoch returns the epoch that the daemon named, 0 if none.
func (o Request) Epoch() uint64 { return o.epoch }

// LeaseUntil returns when the owner's lease ends, 0 if the daemon named none.
func (o Request) LeaseUntil() clock.Millis { return o.lease }

// Execution is one run of a request on one target.
type Execution struct {
	order    Request
	service  string
	instance string
	boot     string
	begin    clock.Millis
	ending   Outcome
}

// NewExecution returns an execution that began at an instant on the boot clock.
// boot identifies the run of the target.
func NewExecution(o Request, service, instance, boot string, begin clock.Millis, ending Outcome) Execution {
	return Execution{order: o, service: service, instance: instance, boot: boot, begin: begin, ending: ending}
}

// Request returns the request that was run.
func (x Execution) Request() Request { return x.order }

// Service returns the service of the target.
func (x Execution) Service() string { return x.service }

// Instance returns the instance of the target.
func (x Execution) Instance() string { return x.instance }

// Boot identifies the run of the target.
func (x Execution) Boot() string { return x.boot }

// Begin returns when the execution began.
func (x Execution) Begin() clock.Millis { return x.begin }

// Outcome returns how the execution ended.
func (x Execution) Outcome() Outcome { return x.ending }

// MayHaveCommitted reports whether the execution took effect, or may have.
func (x Execution) MayHaveCommitted() bool {
	switch x.ending.(type) {
	case Committed, InDoubt:
		return true
	case Aborted:
		return false
	}
	return true
}

// End returns the last instant at which the execution is known to have run.
func (x Execution) End() clock.Millis {
	switch e := x.ending.(type) {
	case Committed:
		return e.at
	case Aborted:
		return e.at
	case InDoubt:
		return x.begin
	}
	return x.begin
}

// Outcome is how an execution ended: Committed, Aborted or Open.
type Outcome interface{ ending() }

// Committed executions took effect.
type Committed struct{ at clock.Millis }

// NewCommitted returns the ending of an execution that took effect at an instant.
func NewCommitted(at clock.Millis) Committed { return Committed{at: at} }

// At returns when the execution took effect.
func (c Committed) At() clock.Millis { return c.at }

// Aborted executions had no effect.
type Aborted struct{ at clock.Millis }

// NewAborted returns the ending of an execution that was given up at an instant.
func NewAborted(at clock.Millis) Aborted { return Aborted{at: at} }

// At returns when the execution was given up.
func (a Aborted) At() clock.Millis { return a.at }

// InDoubt executions have no end in the ledger: their target died. They may have
// taken effect.
type InDoubt struct{}

func (Committed) ending() {}
func (Aborted) ending()   {}
func (InDoubt) ending()   {}

// Shutdown is a graceful leave of a target.
type Shutdown struct {
	boot string
	at   clock.Millis
}

// NewShutdown returns the leave that one run of a target announced at an instant.
func NewShutdown(boot string, at clock.Millis) Shutdown { return Shutdown{boot: boot, at: at} }

// Boot identifies the run of the target.
func (l Shutdown) Boot() string { return l.boot }

// At returns when it announced the leave.
func (l Shutdown) At() clock.Millis { return l.at }

// Ledger is all that the targets of a run wrote down.
type Ledger struct {
	executions []Execution
	leaves     []Shutdown
}

// New returns a ledger of executions and leaves.
func New(executions []Execution, leaves []Shutdown) Ledger {
	return Ledger{executions: executions, leaves: leaves}
}

// Executions returns the executions. The caller must not change them.
func (l Ledger) Executions() []Execution { return l.executions }

// Shutdowns returns the leaves. The caller must not change them.
func (l Ledger) Shutdowns() []Shutdown { return l.leaves }
