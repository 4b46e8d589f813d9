package apply

import (
	"fmt"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// setRules decides on a proposed configuration. Versions only rise, and a version has a single
// content. A repeated proposal of what is in force is accepted, so that proposals may be retried.
func (t *transition) setRules(c logcmd.SetRules) {
	v := t.decide(c)
	t.effects = append(t.effects, Decided{verdict: v})
	author := c.Instance() + ":" + c.Folder()
	from, to := versionLabel(t.table().Rules()), versionLabel(c.Rules())
	switch v := v.(type) {
	case fleet.Accepted:
		t.change(table.NewRulesSet(c.Rules()))
		t.options = append(t.options, fleet.WithOrigin(fleet.NewOrigin(c.Instance(), c.Folder())),
			fleet.WithAccepted(fleet.NewAcceptedVersion(c.Rules().Version(), c.Rules().Digest())))
		t.record(author, "rules", from, to, "accepted")
	case fleet.Repeated:
		t.record(author, "rules", from, to, "accepted again")
	case fleet.Conflict:
		t.record(author, "rules", from, to, "refused: the version was taken by "+v.First().Instance()+":"+v.First().Folder())
	case fleet.Older:
		t.record(author, "rules", from, to, "ignored: a newer version is in force")
	case fleet.Invalid:
		t.record(author, "rules", from, to, "refused: "+v.Problem())
	}
}

func (t *transition) decide(c logcmd.SetRules) fleet.Verdict {
	current, proposed := t.table().Rules(), c.Rules()
	base, bound := c.BaseVersion()
	switch {
	case bound && t.fleet.Accepted(proposed.Version(), proposed.Digest()):
		return fleet.Repeated{}
	case bound && base != current.Version():
		return fleet.NewOlder(current.Version())
	case proposed.Version() < current.Version():
		return fleet.NewOlder(current.Version())
	case proposed.Version() == current.Version() && proposed.Digest() == current.Digest():
		return fleet.Repeated{}
	case proposed.Version() == current.Version():
		return fleet.NewConflict(current.Digest(), t.fleet.Origin())
	}
	if problem := t.incompatibility(proposed); problem != "" {
		return fleet.NewInvalid(problem)
	}
	return fleet.Accepted{}
}

// incompatibility returns why the rules can't replace those in force, "" if they can. The shard
// count of a service with owned shards must not change, or a key could have two owners until all
// daemons know the new rules.
func (t *transition) incompatibility(proposed rules.Rules) string {
	for _, n := range t.table().Services() {
		v, named := proposed.Service(n)
		count := t.grantedRanges(n)
		if !named || count == 0 {
			continue
		}
		if k, keyed := v.Kind().(rules.Keyed); !keyed || k.Shards() != count {
			return fmt.Sprintf("services.%s: its %d shards have owners and cannot be divided anew; use a new service name", n, count)
		}
	}
	return ""
}

// grantedRanges returns the number of hash ranges by which requests of the service may still be
// routed, 0 if none was ever granted. For a service that is no longer in the rules, it is the
// number of ranges that were granted.
func (t *transition) grantedRanges(service string) int {
	granted := 0
	for _, sh := range t.table().Shards(service) {
		if sh < table.FirstOverride {
			granted++
		}
	}
	if count, ok := t.shardCount(service); ok && granted > 0 {
		return count
	}
	return granted
}

// shardCount returns the number of hash ranges of a service, and whether the service is keyed.
func (t *transition) shardCount(service string) (int, bool) {
	v, ok := t.table().Rules().Service(service)
	if !ok {
		return 0, false
	}
	k, ok := v.Kind().(rules.Keyed)
	return k.Shards(), ok
}

func withNextOverride(s table.Shard) fleet.Option { return fleet.WithNextOverride(s) }

func versionLabel(r rules.Rules) string {
	if r.Version() == 0 {
		return "none"
	}
	return fmt.Sprintf("version %d (%.12s)", r.Version(), r.Digest())
}
