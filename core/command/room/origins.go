package room

import "math"

const (
	// maxClasses is the number of classes that are tracked; others count as new requests.
	maxClasses = 1024
	// maxOrigins is the number of services that are told apart as origins.
	maxOrigins = 256
	// maxCount halves the counts of a class, so that a class whose use changes is noticed.
	maxCount = 4096
	// minCallShare is the share of its main origin from which a class may be a call.
	minCallShare = 0.98
	// callEvidence is the natural logarithm of the odds against requests of callers coming from one service by chance.
	callEvidence = 14.0
)

// Origins learns which classes are calls that targets make: callers send requests on all instances, so requests of a
// class that come only from the instances of one service, while others come from more, are calls of its targets. A
// class that is taken for a call by mistake is only admitted earlier.
type Origins struct {
	ids     map[string]int
	classes map[string]*classOrigins
}

// classOrigins counts the requests of a class by origin.
type classOrigins struct {
	counts []int
	total  int
}

// NewOrigins returns an empty Origins.
func NewOrigins() *Origins {
	return &Origins{ids: map[string]int{}, classes: map[string]*classOrigins{}}
}

// Record counts a request of the class that entered at an instance of the service origin.
func (o *Origins) Record(class, origin string) {
	c, ok := o.classes[class]
	if !ok {
		if class == "" || len(o.classes) >= maxClasses {
			return
		}
		c = &classOrigins{}
		o.classes[class] = c
	}
	id, ok := o.ids[origin]
	if !ok {
		if len(o.ids) >= maxOrigins {
			return
		}
		id = len(o.ids)
		o.ids[origin] = id
	}
	c.add(id)
}

func (c *classOrigins) add(id int) {
	for len(c.counts) <= id {
		c.counts = append(c.counts, 0)
	}
	if c.total >= maxCount {
		c.total = 0
		for i := range c.counts {
			c.counts[i] /= 2
			c.total += c.counts[i]
		}
	}
	c.counts[id]++
	c.total++
}

// main returns the most frequent origin of the class and its share.
func (c *classOrigins) main() (id int, share float64) {
	for i, n := range c.counts {
		if n > c.counts[id] {
			id = i
		}
	}
	return id, float64(c.counts[id]) / float64(max(1, c.total))
}

// IsCall reports whether requests of the class are calls of other targets.
func (o *Origins) IsCall(class string) bool {
	c, ok := o.classes[class]
	if !ok || c.total == 0 {
		return false
	}
	id, share := c.main()
	if share < minCallShare {
		return false
	}
	expected := o.callerShare(id)
	return expected > 0 && expected < 1 && -math.Log(expected)*float64(c.total) >= callEvidence
}

// callerShare returns the share of the origin among the requests of classes with several origins, 0 without any.
func (o *Origins) callerShare(id int) float64 {
	from, total := 0, 0
	for _, c := range o.classes {
		if _, share := c.main(); share >= minCallShare {
			continue
		}
		total += c.total
		if id < len(c.counts) {
			from += c.counts[id]
		}
	}
	if total == 0 {
		return 0
	}
	return float64(from+1) / float64(total+2)
}
