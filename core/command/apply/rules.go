package apply

import (
	"fmt"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// accept decides an offered configuration. Versions only rise; one version has
// one content; a resend of what is in force is accepted again.
func (s *step) accept(c logcmd.SetRules) {
	v := s.judge(c)
	s.effects = append(s.effects, Decided{verdict: v})
	author := c.Instance() + ":" + c.Folder()
	from, to := label(s.table().Rules()), label(c.Rules())
	switch v := v.(type) {
	case fleet.Accepted:
		s.change(table.NewRulesSet(c.Rules()))
		s.options = append(s.options, fleet.WithOrigin(fleet.NewOrigin(c.Instance(), c.Folder())),
			fleet.WithAccepted(fleet.NewAcceptedVersion(c.Rules().Version(), c.Rules().Digest())))
		s.record(author, "rules", from, to, "accepted")
	case fleet.Repeated:
		s.record(author, "rules", from, to, "accepted again")
	case fleet.Conflict:
		s.record(author, "rules", from, to, "refused: the version was taken by "+v.First().Instance()+":"+v.First().Folder())
	case fleet.Older:
		s.record(author, "rules", from, to, "ignored: a newer version is in force")
	case fleet.Invalid:
		s.record(author, "rules", from, to, "refused: "+v.Problem())
	}
}

func (s *step) judge(c logcmd.SetRules) fleet.Verdict {
	present, offered := s.table().Rules(), c.Rules()
	base, bound := c.BaseVersion()
	switch {
	case bound && s.fleet.Accepted(offered.Version(), offered.Digest()):
		return fleet.Repeated{}
	case bound && base != present.Version():
		return fleet.NewOlder(present.Version())
	case offered.Version() < present.Version():
		return fleet.NewOlder(present.Version())
	case offered.Version() == present.Version() && offered.Digest() == present.Digest():
		return fleet.Repeated{}
	case offered.Version() == present.Version():
		return fleet.NewConflict(present.Digest(), s.fleet.Origin())
	}
	if problem := s.unfit(offered); problem != "" {
		return fleet.NewInvalid(problem)
	}
	return fleet.Accepted{}
}

// unfit says why the rules cannot follow those in force, "" if they can. The
// shards of a service with owners must stay, or one key would have two owners
// while daemons learn of the change.
func (s *step) unfit(offered rules.Rules) string {
	for _, n := range s.table().Services() {
		v, named := offered.Service(n)
		count := s.ranges(n)
		if !named || count == 0 {
			continue
		}
		if k, keyed := v.Kind().(rules.Keyed); !keyed || k.Shards() != count {
			return fmt.Sprintf("services.%s: its %d shards have owners and cannot be divided anew; use a new service name", n, count)
		}
	}
	return ""
}

// ranges returns the count of hash ranges that requests of the service may still
// be sent by, 0 if it never had owners. A service that left the rules is
// remembered by its granted ranges.
func (s *step) ranges(service string) int {
	granted := 0
	for _, sh := range s.table().Shards(service) {
		if sh < table.FirstOverride {
			granted++
		}
	}
	if count, ok := s.shards(service); ok && granted > 0 {
		return count
	}
	return granted
}

// shards returns the count of hash ranges of a keyed service.
func (s *step) shards(service string) (int, bool) {
	v, ok := s.table().Rules().Service(service)
	if !ok {
		return 0, false
	}
	k, ok := v.Kind().(rules.Keyed)
	return k.Shards(), ok
}

func withNext(s table.Shard) fleet.Option { return fleet.WithNextOverride(s) }

func label(r rules.Rules) string {
	if r.Version() == 0 {
		return "none"
	}
	return fmt.Sprintf("version %d (%.12s)", r.Version(), r.Digest())
}
