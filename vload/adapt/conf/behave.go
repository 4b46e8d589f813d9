package conf

import (
	"fmt"

	"verbenabank/core/clock"
	"verbenabank/vload/state/server"
)

// Names of the cases of fencing and spread in files.
const (
	fencingNone   = "none"
	fencingStart  = "start"
	fencingCommit = "commit"

	spreadFixed       = "fixed"
	spreadExponential = "exponential"
)

// behavior is the form of server.Behavior in files.
type behavior struct {
	Slots       *int                    `json:"slots,omitempty"`
	Backlog     *int                    `json:"backlog,omitempty"`
	Connections *int                    `json:"connections,omitempty"`
	ConnectMs   *clock.Millis           `json:"connect_ms,omitempty"`
	DrainMs     *clock.Millis           `json:"drain_ms,omitempty"`
	ColdMs      *clock.Millis           `json:"cold_ms,omitempty"`
	ColdFactor  *float64                `json:"cold_factor,omitempty"`
	ReportLagMs clock.Millis            `json:"report_lag_ms,omitempty"`
	Fencing     string                  `json:"fencing,omitempty"`
	Spread      string                  `json:"spread,omitempty"`
	ServiceMs   map[string]clock.Millis `json:"service_ms,omitempty"`
}

func (b behavior) decode() (server.Behavior, error) {
	fencing, err := decodeFencing(b.Fencing)
	if err != nil {
		return server.Behavior{}, err
	}
	spread, err := decodeSpread(b.Spread)
	if err != nil {
		return server.Behavior{}, err
	}
	return server.New(
		server.WithSlots(or(b.Slots, server.DefaultSlots), or(b.Backlog, server.DefaultBacklog)),
		server.WithConnections(or(b.Connections, server.DefaultMaxConnections), or(b.ConnectMs, server.DefaultConnectDelay)),
		server.WithDrainTime(or(b.DrainMs, server.DefaultDrainTime)),
		server.WithColdStart(or(b.ColdMs, server.DefaultColdDuration), or(b.ColdFactor, server.DefaultColdSlowdown)),
		server.WithReportLag(b.ReportLagMs),
		server.WithFencing(fencing),
		server.WithServiceTimes(b.ServiceMs, spread),
	), nil
}

func encodeBehavior(b server.Behavior) behavior {
	slots, backlog, connections := b.Slots(), b.Backlog(), b.MaxConnections()
	connect, drain, cold, factor := b.ConnectDelay(), b.DrainTime(), b.ColdDuration(), b.ColdSlowdown()
	return behavior{
		Slots: &slots, Backlog: &backlog, Connections: &connections, ConnectMs: &connect,
		DrainMs: &drain, ColdMs: &cold, ColdFactor: &factor, ReportLagMs: b.ReportLag(),
		Fencing: encodeFencing(b.Fencing()), Spread: encodeSpread(b.Distribution()), ServiceMs: b.ServiceTimes(),
	}
}

func decodeFencing(name string) (server.Fencing, error) {
	switch name {
	case "", fencingNone:
		return server.Unfenced{}, nil
	case fencingStart:
		return server.AtStart{}, nil
	case fencingCommit:
		return server.AtCommit{}, nil
	}
	return nil, fail("decode", Invalid, fmt.Errorf("fencing %q is not none, start or commit", name))
}

func encodeFencing(f server.Fencing) string {
	switch f.(type) {
	case server.Unfenced:
		return fencingNone
	case server.AtStart:
		return fencingStart
	case server.AtCommit:
		return fencingCommit
	}
	return fencingNone
}

func decodeSpread(name string) (server.Distribution, error) {
	switch name {
	case "", spreadFixed:
		return server.Fixed{}, nil
	case spreadExponential:
		return server.Exponential{}, nil
	}
	return nil, fail("decode", Invalid, fmt.Errorf("spread %q is not fixed or exponential", name))
}

func encodeSpread(s server.Distribution) string {
	switch s.(type) {
	case server.Fixed:
		return spreadFixed
	case server.Exponential:
		return spreadExponential
	}
	return spreadFixed
}

// or returns the value that was set, or else the default.
func or[T any](value *T, standard T) T {
	if value != nil {
		return *value
	}
	return standard
}
