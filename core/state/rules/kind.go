package rules

// Kind is how the requests of a service are distributed over its targets: Keyed, Ordered or
// Pooled.
type Kind interface{ kind() }

// Keyed services have one owning target for each key. Keys are hashed to shards.
type Keyed struct {
	source KeySource
	shards int
}

// NewKeyed returns the kind of a service whose keys are taken from source and hashed to the
// given number of shards.
func NewKeyed(source KeySource, shards int) Keyed { return Keyed{source: source, shards: shards} }

// Source returns where to find the key in a request.
func (k Keyed) Source() KeySource { return k.source }

// Shards returns the number of hash ranges.
func (k Keyed) Shards() int { return k.shards }

// Ordered services have one owning target for each key. Their keys are the numbers from 0, and
// members own spans of adjacent keys.
type Ordered struct {
	source KeySource
	keys   int
}

// NewOrdered returns the kind of a service with the given number of keys, which are taken from
// source as decimal numbers.
func NewOrdered(source KeySource, keys int) Ordered { return Ordered{source: source, keys: keys} }

// Source returns where to find the key in a request.
func (o Ordered) Source() KeySource { return o.source }

// Keys returns the number of keys; the highest key is one less.
func (o Ordered) Keys() int { return o.keys }

// Pooled services have no keys: any target may serve any request.
type Pooled struct{}

func (Keyed) kind()   {}
func (Ordered) kind() {}
func (Pooled) kind()  {}

// KeySource is where to find the key in a request: PathSegment or Header.
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

// NewHeader returns the source for the header with the canonical name.
func NewHeader(name string) Header { return Header{name: name} }

// Name returns the canonical name of the header.
func (h Header) Name() string { return h.name }

func (PathSegment) keySource() {}
func (Header) keySource()      {}

// Fencing says whether targets check the epoch of a request, which is a fencing token: Checked
// or Unchecked.
type Fencing interface{ fencing() }

// Checked targets refuse requests with an outdated epoch or an expired lease.
type Checked struct{}

// Unchecked targets run every request that they receive, so only the daemon checks ownership.
type Unchecked struct{}

func (Checked) fencing()   {}
func (Unchecked) fencing() {}

// Shedding says whether a response with status 503 proves that the target did not run the
// request: ShedNotRun or ShedAmbiguous.
type Shedding interface{ shedding() }

// ShedNotRun targets respond with 503 only to requests that they did not run.
type ShedNotRun struct{}

// ShedAmbiguous targets may have run a request to which they respond with 503.
type ShedAmbiguous struct{}

func (ShedNotRun) shedding()    {}
func (ShedAmbiguous) shedding() {}
