package conf

import (
	"fmt"

	"verbenabank/core/clock"
	"verbenabank/vload/state/server"
)

// Values of the fields fencing and spread.
const (
	fencingNone   = "none"
	fencingStart  = "start"
	fencingCommit = "commit"

	distributionFixed       = "fixed"
	distributionExponential = "exponential"
)

// behavior is the JSON form of server.Behavior. Missing fields take the defaults of
// package server.
type behavior struct {
	Slots        *int                    `json:"slots,omitempty"`
	Backlog      *int                    `json:"backlog,omitempty"`
	Connections  *int                    `json:"connections,omitempty"`
	ConnectMs    *clock.Millis           `json:"connect_ms,omitempty"`
	DrainMs      *clock.Millis           `json:"drain_ms,omitempty"`
	ColdMs       *clock.Millis           `json:"cold_ms,omitempty"`
	ColdSlowdown *float64                `json:"cold_factor,omitempty"`
	ReportLagMs  clock.Millis            `json:"report_lag_ms,omitempty"`
	Fencing      string                  `json:"fencing,omitempty"`
	Distribution string                  `json:"spread,omitempty"`
	ServiceMs    map[string]clock.Millis `json:"service_ms,omitempty"`
}

func (b behavior) decode() (server.Behavior, error) {
	fencing, err := decodeFencing(b.Fencing)
	if err != nil {
		return server.Behavior{}, err
	}
	distribution, err := decodeDistribution(b.Distribution)
	if err != nil {
		return server.Behavior{}, err
	}
	return server.New(
		server.WithSlots(valueOr(b.Slots, server.DefaultSlots), valueOr(b.Backlog, server.DefaultBacklog)),
		server.WithConnections(valueOr(b.Connections, server.DefaultMaxConnections), valueOr(b.ConnectMs, server.DefaultConnectDelay)),
		server.WithDrainTime(valueOr(b.DrainMs, server.DefaultDrainTime)),
		server.WithColdStart(valueOr(b.ColdMs, server.DefaultColdDuration), valueOr(b.ColdSlowdown, server.DefaultColdSlowdown)),
		server.WithReportLag(b.ReportLagMs),
		server.WithFencing(fencing),
		server.WithServiceTimes(b.ServiceMs, distribution),
	), nil
}

func encodeBehavior(b server.Behavior) behavior {
	slots, backlog, connections := b.Slots(), b.Backlog(), b.MaxConnections()
	connectDelay, drainTime, coldDuration, coldSlowdown := b.ConnectDelay(), b.DrainTime(), b.ColdDuration(), b.ColdSlowdown()
	return behavior{
		Slots: &slots, Backlog: &backlog, Connections: &connections, ConnectMs: &connectDelay,
		DrainMs: &drainTime, ColdMs: &coldDuration, ColdSlowdown: &coldSlowdown, ReportLagMs: b.ReportLag(),
		Fencing: encodeFencing(b.Fencing()), Distribution: encodeDistribution(b.Distribution()), ServiceMs: b.ServiceTimes(),
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

func decodeDistribution(name string) (server.Distribution, error) {
	switch name {
	case "", distributionFixed:
		return server.Fixed{}, nil
	case distributionExponential:
		return server.Exponential{}, nil
	}
	return nil, fail("decode", Invalid, fmt.Errorf("spread %q is not fixed or exponential", name))
}

func encodeDistribution(d server.Distribution) string {
	switch d.(type) {
	case server.Fixed:
		return distributionFixed
	case server.Exponential:
		return distributionExponential
	}
	return distributionFixed
}

// valueOr returns *value, or the fallback if the field was not set.
func valueOr[T any](value *T, fallback T) T {
	if value != nil {
		return *value
	}
	return fallback
}
