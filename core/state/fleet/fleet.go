// Package fleet holds the replicated state of the control group: the routing
// table, where its rules came from, and the audit trail.
package fleet

import (
	"verbenabank/core/state/order"
	"verbenabank/core/state/table"
)

// AuditLimit is how many of the newest audit records are kept.
const AuditLimit = 10_000

// Fleet is the state after one log entry. It is an immutable value; the next one
// is derived with With.
type Fleet struct {
	index        uint64
	table        *table.Table
	origin       Origin
	audit        []Record
	nextOverride table.Shard
}

// Option sets one part of a Fleet.
type Option func(*Fleet)

// New returns the empty state with opts applied.
func New(opts ...Option) *Fleet {
	f := &Fleet{table: table.Empty(), nextOverride: table.FirstOverride}
	return f.With(opts...)
}

// With returns the state with opts applied. The receiver stays as it is.
func (f *Fleet) With(opts ...Option) *Fleet {
	next := *f
	for _, o := range opts {
		o(&next)
	}
	return &next
}

// WithIndex sets the log index of the last applied entry.
func WithIndex(index uint64) Option { return func(f *Fleet) { f.index = index } }

// WithTable sets the routing table.
func WithTable(t *table.Table) Option { return func(f *Fleet) { f.table = t } }

// WithOrigin sets where the rules in force came from.
func WithOrigin(o Origin) Option { return func(f *Fleet) { f.origin = o } }

// WithNextOverride sets the number of the next key that is placed alone.
func WithNextOverride(s table.Shard) Option { return func(f *Fleet) { f.nextOverride = s } }

// WithRecords adds records to the audit trail and drops the oldest over
// AuditLimit. States derived from one another must be derived in one line, since
// they share the trail.
func WithRecords(records ...Record) Option {
	return func(f *Fleet) {
		f.audit = append(f.audit, records...)
		if over := len(f.audit) - AuditLimit; over > 0 {
			f.audit = f.audit[over:]
		}
	}
}

// Index returns the log index of the last applied entry.
func (f *Fleet) Index() uint64 { return f.index }

// Table returns the routing table.
func (f *Fleet) Table() *table.Table { return f.table }

// Origin returns where the rules in force came from.
func (f *Fleet) Origin() Origin { return f.origin }

// Audit returns the audit trail, oldest first. It must not be changed.
func (f *Fleet) Audit() []Record { return f.audit[:len(f.audit):len(f.audit)] }

// NextOverride returns the number of the next key that is placed alone.
func (f *Fleet) NextOverride() table.Shard { return f.nextOverride }

// Origin is where accepted rules came from.
type Origin struct {
	instance string
	folder   string
}

// NewOrigin returns the origin of rules in a folder of an instance.
func NewOrigin(instance, folder string) Origin {
	return Origin{instance: instance, folder: folder}
}

// Instance returns the instance that offered first.
func (o Origin) Instance() string { return o.instance }

// Folder returns the folder that held the files.
func (o Origin) Folder() string { return o.folder }

// Record is one line of the audit trail.
type Record struct {
	index   uint64
	stamp   order.Stamp
	author  string
	subject string
	from    string
	to      string
	outcome string
}

// NewRecord returns a record of the entry at index: author changed subject from
// one value to another, with the outcome.
func NewRecord(index uint64, stamp order.Stamp, author, subject, from, to, outcome string) Record {
	return Record{index: index, stamp: stamp, author: author, subject: subject, from: from, to: to, outcome: outcome}
}

// Index returns the log index of the change.
func (r Record) Index() uint64 { return r.index }

// Stamp returns when the leader proposed the change.
func (r Record) Stamp() order.Stamp { return r.stamp }

// Author returns who asked for the change: an instance and folder, or "control".
func (r Record) Author() string { return r.author }

// Subject returns what changed.
func (r Record) Subject() string { return r.subject }

// From returns the value before.
func (r Record) From() string { return r.from }

// To returns the value after.
func (r Record) To() string { return r.to }

// Outcome returns what became of the change.
func (r Record) Outcome() string { return r.outcome }
