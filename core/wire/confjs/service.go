package confjs

import (
	"fmt"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/wire/jtree"
)

// Ranges of the fields of a service.
const (
	MaxShards      = 4096
	MinSegment     = 2 // segment 1 is the service name
	MaxSegment     = 16
	MaxSlots       = 10000
	MaxConnections = 100000
	MaxQueue       = 100000
	MaxBodyBytes   = 1 << 40
	MaxAttempts    = 10
	MaxHotKeys     = 64
	MaxWeight      = 1000
	MinDeadline    = 10 * clock.Millisecond
	MaxSpan        = 10 * clock.Minute
)

// methods are the HTTP methods that a service may call repeatable.
var methods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

func readService(r jtree.Reader, name string) rules.Service {
	r.RejectUnknown("keyed", "pooled", "repeatable", "target", "queue", "body_bytes",
		"deadline_ms", "drain_ms", "warm_up_ms", "retry", "hot", "weights")
	deadline := span(r, "deadline_ms", MinDeadline, rules.DefaultDeadline)
	opts := []rules.Option{
		rules.WithKind(readKind(r)),
		rules.WithRepeatable(readMethods(r)...),
		rules.WithMaxBodyBytes(r.Int("body_bytes", 0, MaxBodyBytes, rules.DefaultMaxBodyBytes)),
		rules.WithDeadline(deadline),
		rules.WithDrain(span(r, "drain_ms", 0, rules.DefaultDrain)),
		rules.WithWarmUp(span(r, "warm_up_ms", 0, rules.DefaultWarmUp)),
		readQueue(r, deadline),
		readRetry(r),
		readHot(r),
		readWeights(r),
	}
	return rules.NewService(name, append(opts, readTarget(r)...)...)
}

func span(r jtree.Reader, field string, least, fallback clock.Millis) clock.Millis {
	return clock.Millis(r.Int(field, int64(least), int64(MaxSpan), int64(fallback)))
}

func readMethods(r jtree.Reader) []string {
	repeatable := r.Strings("repeatable", rules.NewService("").RepeatableMethods())
	for i, m := range repeatable {
		if !slices.Contains(methods, m) {
			r.AddItemFault("repeatable", i, fmt.Sprintf("must be one of %v, is %q", methods, m))
		}
	}
	return repeatable
}

func readTarget(r jtree.Reader) []rules.Option {
	t, _ := r.Object("target")
	t.RejectUnknown("checks_epoch", "shed_is_not_run", "slots", "connections")
	slots := t.Int("slots", 1, MaxSlots, rules.DefaultSlots)
	connections := t.Int("connections", 1, MaxConnections, rules.DefaultConnections)
	if connections < slots {
		t.AddFault("connections", fmt.Sprintf("must be at least slots, which is %d; is %d", slots, connections))
	}
	opts := []rules.Option{rules.WithSlots(int(slots)), rules.WithConnections(int(connections))}
	if t.Bool("checks_epoch", false) {
		opts = append(opts, rules.WithFencing(rules.Checked{}))
	}
	if t.Bool("shed_is_not_run", false) {
		opts = append(opts, rules.WithShedding(rules.ShedNotRun{}))
	}
	return opts
}

func readQueue(r jtree.Reader, deadline clock.Millis) rules.Option {
	q, _ := r.Object("queue")
	q.RejectUnknown("length", "wait_ms")
	length := q.Int("length", 0, MaxQueue, rules.DefaultQueueLength)
	wait := span(q, "wait_ms", 0, min(rules.DefaultQueueWait, deadline))
	if wait > deadline {
		q.AddFault("wait_ms", fmt.Sprintf("must be at most deadline_ms, which is %d; is %d", deadline, wait))
	}
	return rules.WithQueue(int(length), wait)
}

func readRetry(r jtree.Reader) rules.Option {
	t, _ := r.Object("retry")
	t.RejectUnknown("attempts", "percent")
	return rules.WithRetry(
		int(t.Int("attempts", 1, MaxAttempts, rules.DefaultRetryAttempts)),
		int(t.Int("percent", 0, 100, rules.DefaultRetryPercent)))
}

func readHot(r jtree.Reader) rules.Option {
	h, ok := r.Object("hot")
	if ok && !r.Has("keyed") {
		r.AddFault("hot", "has no meaning without keyed; remove it")
	}
	h.RejectUnknown("percent", "keys")
	return rules.WithHotKeys(
		int(h.Int("percent", 1, 100, rules.DefaultHotPercent)),
		int(h.Int("keys", 0, MaxHotKeys, rules.DefaultHotKeys)))
}

func readWeights(r jtree.Reader) rules.Option {
	w, ok := r.Object("weights")
	w.RejectUnknown("unavailable", "churn", "imbalance")
	unavailable := w.Float("unavailable", 0, MaxWeight, rules.DefaultUnavailableWeight)
	churn := w.Float("churn", 0, MaxWeight, rules.DefaultChurnWeight)
	imbalance := w.Float("imbalance", 0, MaxWeight, rules.DefaultImbalanceWeight)
	if ok && unavailable == 0 && churn == 0 && imbalance == 0 {
		r.AddFault("weights", "must have one weight above 0")
	}
	return rules.WithWeights(rules.NewWeights(unavailable, churn, imbalance))
}
