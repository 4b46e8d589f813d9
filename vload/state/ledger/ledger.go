// Package ledger holds what a stand-in target wrote down about the requests that
// reached it.
package ledger

import "verbenabank/core/clock"

// Order is a request as the target was given it.
type Order struct {
	id              string
	key             string
	method          string
	shard           uint32
	epoch           uint64
	lease           clock.Millis
	daemonRequestID string
}

// NewOrder returns a request. The lease is the end of the owner's lease on the
// boot clock, 0 if the request carries none.
func NewOrder(id, key, method string, shard uint32, epoch uint64, lease clock.Millis) Order {
	return Order{id: id, key: key, method: method, shard: shard, epoch: epoch, lease: lease}
}

// WithHandle returns the order with the name under which the daemon extends its lease.
func (o Order) WithHandle(handle string) Order {
	o.daemonRequestID = handle
	return o
}

// Extended returns the order with a lease that ends at until or later.
func (o Order) Extended(until clock.Millis) Order {
	o.lease = max(o.lease, until)
	return o
}

// Handle returns the name under which the daemon extends the lease.
func (o Order) Handle() string { return o.daemonRequestID }

// ID returns the request ID that the caller chose.
func (o Order) ID() string { return o.id }

// Key returns the key of the request.
func (o Order) Key() string { return o.key }

// Method returns the HTTP method.
func (o Order) Method() string { return o.method }

// Shard returns the shard that the daemon named.
func (o Order) Shard() uint32 { return o.shard }

// Epoch returns the epoch that the daemon named, 0 if none.
func (o Order) Epoch() uint64 { return o.epoch }

// Lease returns when the owner's lease ends, 0 if the daemon named none.
func (o Order) Lease() clock.Millis { return o.lease }

// Execution is one run of a request on one target.
type Execution struct {
	request  Order
	service  string
	instance string
	boot     string
	begin    clock.Millis
	outcome  Ending
}

// NewExecution returns an execution that began at an instant on the boot clock.
// boot identifies the run of the target.
func NewExecution(o Order, service, instance, boot string, begin clock.Millis, ending Ending) Execution {
	return Execution{request: o, service: service, instance: instance, boot: boot, begin: begin, outcome: ending}
}

// Order returns the request that was run.
func (x Execution) Order() Order { return x.request }

// Service returns the service of the target.
func (x Execution) Service() string { return x.service }

// Instance returns the instance of the target.
func (x Execution) Instance() string { return x.instance }

// Boot identifies the run of the target.
func (x Execution) Boot() string { return x.boot }

// Begin returns when the execution began.
func (x Execution) Begin() clock.Millis { return x.begin }

// Ending returns how the execution ended.
func (x Execution) Ending() Ending { return x.outcome }

// Ran reports whether the execution took effect, or may have.
func (x Execution) Ran() bool {
	switch x.outcome.(type) {
	case Committed, Open:
		return true
	case Aborted:
		return false
	}
	return true
}

// End returns the last instant at which the execution is known to have run.
func (x Execution) End() clock.Millis {
	switch e := x.outcome.(type) {
	case Committed:
		return e.at
	case Aborted:
		return e.at
	case Open:
		return x.begin
	}
	return x.begin
}

// Ending is how an execution ended: Committed, Aborted or Open.
type Ending interface{ ending() }

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

// Open executions have no end in the ledger: their target died. They may have
// taken effect.
type Open struct{}

func (Committed) ending() {}
func (Aborted) ending()   {}
func (Open) ending()      {}

// Leave is a graceful leave of a target.
type Leave struct {
	boot string
	at   clock.Millis
}

// NewLeave returns the leave that one run of a target announced at an instant.
func NewLeave(boot string, at clock.Millis) Leave { return Leave{boot: boot, at: at} }

// Boot identifies the run of the target.
func (l Leave) Boot() string { return l.boot }

// At returns when it announced the leave.
func (l Leave) At() clock.Millis { return l.at }

// Ledger is all that the targets of a run wrote down.
type Ledger struct {
	executions []Execution
	leaves     []Leave
}

// New returns a ledger of executions and leaves.
func New(executions []Execution, leaves []Leave) Ledger {
	return Ledger{executions: executions, leaves: leaves}
}

// Executions returns the executions. The caller must not change them.
func (l Ledger) Executions() []Execution { return l.executions }

// Leaves returns the leaves. The caller must not change them.
func (l Ledger) Leaves() []Leave { return l.leaves }
