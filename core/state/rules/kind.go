package rules

// Kind says how requests of a service are spread: Keyed, Ordered or Pooled.
type Kind interface{ kind() }

// Keyed services have one owning target for each key.
type Keyed struct {
	source KeySource
	shards int
}

// NewKeyed returns the kind of a service whose keys come from source and are
// hashed to the given count of shards.
func NewKeyed(source KeySource, shards int) Keyed { return Keyed{source: source, shards: shards} }

// Source returns where a request carries its key.
func (k Keyed) Source() KeySource { return k.source }

// Shards returns the count of hash ranges.
func (k Keyed) Shards() int { return k.shards }

// Ordered services have one owning target for each key, and their keys are the
// numbers from 0. Owners hold spans of neighboring keys.
type Ordered struct {
	source KeySource
	keys   int
}

// NewOrdered returns the kind of a service with so many keys, which come from source as
// decimal numbers.
func NewOrdered(source KeySource, keys int) Ordered { return Ordered{source: source, keys: keys} }

// Source returns where a request carries its key.
func (o Ordered) Source() KeySource { return o.source }

// Keys returns the count of keys.
func (o Ordered) Keys() int { return o.keys }

// Pooled services may be served by any of their targets.
type Pooled struct{}

func (Keyed) kind()   {}
func (Ordered) kind() {}
func (Pooled) kind()  {}

// KeySource says where a request carries its key: PathSegment or Header.
type KeySource interface{ keySource() }

// PathSegment takes the key from the path, counted from 1. The service name is
// segment 1, so "/catalogue/tent-9" has the key "tent-9" in segment 2.
type PathSegment struct{ index int }

// NewPathSegment returns the source for the segment at index, counted from 1.
func NewPathSegment(index int) PathSegment { return PathSegment{index: index} }

// Index returns the position of the segment, counted from 1.
func (p PathSegment) Index() int { return p.index }

// Header takes the key from a request header.
type Header struct{ name string }

// NewHeader returns the source for the header called name.
func NewHeader(name string) Header { return Header{name: name} }

// Name returns the canonical name of the header.
func (h Header) Name() string { return h.name }

func (PathSegment) keySource() {}
func (Header) keySource()      {}

// Fencing says whether targets check the epoch of an order: Checked or
// Unchecked.
type Fencing interface{ fencing() }

// Checked targets refuse requests with an old epoch or a lapsed lease.
type Checked struct{}

// Unchecked targets run whatever reaches them; the daemon is the only guard.
type Unchecked struct{}

func (Checked) fencing()   {}
func (Unchecked) fencing() {}

// Shedding says what a target's 503 proves: ShedNotRun or ShedAmbiguous.
type Shedding interface{ shedding() }

// ShedNotRun targets answer 503 only for requests that they did not run.
type ShedNotRun struct{}

// ShedAmbiguous targets may have run a request that they answer with 503.
type ShedAmbiguous struct{}

func (ShedNotRun) shedding()    {}
func (ShedAmbiguous) shedding() {}
