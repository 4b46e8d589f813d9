package confjs

import (
	"strconv"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/tree"
	"verbenabank/core/wire/jtree"
)

type fieldMap = map[string]tree.Node

// Encode returns r as canonical JSON in which all fields are set, defaults included. It has the
// digest of r only if the content of r sets all fields as well.
func Encode(r rules.Rules) []byte {
	services := fieldMap{}
	for _, name := range r.ServiceNames() {
		s, _ := r.Service(name)
		services[name] = encodeService(s)
	}
	return jtree.Canonical(objectNode(fieldMap{"version": intNode(int64(r.Version())), "services": objectNode(services)}))
}

func encodeService(s rules.Service) tree.Node {
	f := fieldMap{
		"repeatable":  stringsNode(s.RepeatableMethods()),
		"target":      encodeTarget(s),
		"queue":       objectNode(fieldMap{"length": intNode(int64(s.QueueLength())), "wait_ms": millisNode(s.QueueWait())}),
		"body_bytes":  intNode(s.MaxBodyBytes()),
		"deadline_ms": millisNode(s.Deadline()),
		"drain_ms":    millisNode(s.Drain()),
		"warm_up_ms":  millisNode(s.WarmUp()),
		"retry": objectNode(fieldMap{
			"attempts": intNode(int64(s.RetryAttempts())), "percent": intNode(int64(s.RetryPercent())),
		}),
		"weights": objectNode(fieldMap{
			"unavailable": floatNode(s.Weights().Unavailable()),
			"churn":       floatNode(s.Weights().Churn()),
			"imbalance":   floatNode(s.Weights().Imbalance()),
		}),
	}
	switch k := s.Kind().(type) {
	case rules.Pooled:
		f["pooled"] = objectNode(nil)
	case rules.Keyed:
		f["keyed"] = objectNode(fieldMap{"key": encodeKeySource(k.Source()), "shards": intNode(int64(k.Shards()))})
		f["hot"] = objectNode(fieldMap{"percent": intNode(int64(s.HotPercent())), "keys": intNode(int64(s.HotKeys()))})
	}
	return objectNode(f)
}

func encodeKeySource(source rules.KeySource) tree.Node {
	switch source := source.(type) {
	case rules.PathSegment:
		return objectNode(fieldMap{"path_segment": intNode(int64(source.Index()))})
	case rules.Header:
		return objectNode(fieldMap{"header": tree.NewString(tree.Position{}, source.Name())})
	}
	return objectNode(nil)
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
	return objectNode(fieldMap{
		"checks_epoch":    tree.NewBool(tree.Position{}, checked),
		"shed_is_not_run": tree.NewBool(tree.Position{}, notRun),
		"slots":           intNode(int64(s.Slots())),
		"connections":     intNode(int64(s.Connections())),
	})
}

func objectNode(f fieldMap) tree.Node { return tree.NewObject(tree.Position{}, f) }

func intNode(n int64) tree.Node { return tree.NewNumber(tree.Position{}, strconv.FormatInt(n, 10)) }

func floatNode(f float64) tree.Node {
	return tree.NewNumber(tree.Position{}, strconv.FormatFloat(f, 'g', -1, 64))
}

func millisNode(m clock.Millis) tree.Node { return intNode(int64(m)) }

func stringsNode(values []string) tree.Node {
	items := make([]tree.Node, 0, len(values))
	for _, v := range values {
		items = append(items, tree.NewString(tree.Position{}, v))
	}
	return tree.NewArray(tree.Position{}, items...)
}
