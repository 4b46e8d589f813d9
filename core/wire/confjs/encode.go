package confjs

import (
	"strconv"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/tree"
	"verbenabank/core/wire/jtree"
)

type fields = map[string]tree.Node

// Encode returns r as canonical JSON in which every field is set. Its digest is
// that of r only if the content of r set every field too.
func Encode(r rules.Rules) []byte {
	services := fields{}
	for _, name := range r.ServiceNames() {
		s, _ := r.Service(name)
		services[name] = encodeService(s)
	}
	return jtree.Canonical(object(fields{"version": whole(int64(r.Version())), "services": object(services)}))
}

func encodeService(s rules.Service) tree.Node {
	f := fields{
		"repeatable":  texts(s.RepeatableMethods()),
		"target":      encodeTarget(s),
		"queue":       object(fields{"length": whole(int64(s.QueueLength())), "wait_ms": millis(s.QueueWait())}),
		"body_bytes":  whole(s.MaxBodyBytes()),
		"deadline_ms": millis(s.Deadline()),
		"drain_ms":    millis(s.Drain()),
		"warm_up_ms":  millis(s.WarmUp()),
		"retry": object(fields{
			"attempts": whole(int64(s.RetryAttempts())), "percent": whole(int64(s.RetryPercent())),
		}),
		"weights": object(fields{
			"unavailable": decimal(s.Weights().Unavailable()),
			"churn":       decimal(s.Weights().Churn()),
			"imbalance":   decimal(s.Weights().Imbalance()),
		}),
	}
	switch k := s.Kind().(type) {
	case rules.Pooled:
		f["pooled"] = object(nil)
	case rules.Keyed:
		f["keyed"] = object(fields{"key": encodeSource(k.Source()), "shards": whole(int64(k.Shards()))})
		f["hot"] = object(fields{"percent": whole(int64(s.HotPercent())), "keys": whole(int64(s.HotKeys()))})
	}
	return object(f)
}

func encodeSource(source rules.KeySource) tree.Node {
	switch source := source.(type) {
	case rules.PathSegment:
		return object(fields{"path_segment": whole(int64(source.Index()))})
	case rules.Header:
		return object(fields{"header": tree.NewString(tree.Position{}, source.Name())})
	}
	return object(nil)
}

func encodeTarget(s rules.Service) tree.Node {
	checked, notRun := false, false
	switch s.Fencing().(type) {
	case rules.Checked:
		checked = true
	case rules.Unchecked:
	}
	switch s.Shedding().(type) {
	case rules.ShedNotRun:
		notRun = true
	case rules.ShedAmbiguous:
	}
	return object(fields{
		"checks_epoch":    tree.NewBool(tree.Position{}, checked),
		"shed_is_not_run": tree.NewBool(tree.Position{}, notRun),
		"slots":           whole(int64(s.Slots())),
		"connections":     whole(int64(s.Connections())),
	})
}

func object(f fields) tree.Node { return tree.NewObject(tree.Position{}, f) }

func whole(n int64) tree.Node { return tree.NewNumber(tree.Position{}, strconv.FormatInt(n, 10)) }

func decimal(f float64) tree.Node {
	return tree.NewNumber(tree.Position{}, strconv.FormatFloat(f, 'g', -1, 64))
}

func millis(m clock.Millis) tree.Node { return whole(int64(m)) }

func texts(values []string) tree.Node {
	items := make([]tree.Node, 0, len(values))
	for _, v := range values {
		items = append(items, tree.NewString(tree.Position{}, v))
	}
	return tree.NewArray(tree.Position{}, items...)
}
