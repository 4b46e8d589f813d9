package serve

import (
	"verbenabank/core/command/agent"
	"verbenabank/core/wire/codec"
	"verbenabank/verbenad/adapt/hop"
)

// otherMembers asks other daemons on the connections of forwarded requests.
type otherMembers struct {
	client *hop.Client
	codec  *codec.Codec
}

// AskRules asks each of the members. It calls answered from other goroutines, once for each answer.
func (o otherMembers) AskRules(q agent.AskRules, answered func(agent.RulesAnswered)) {
	for _, a := range q.Addresses() {
		o.client.AskRules(a, q.Asked(), q.Version(), o.codec, answered)
	}
}
