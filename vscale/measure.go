package main

import (
	"time"

	"verbenabank/vscale/command/group"
	"verbenabank/vscale/command/size"
	"verbenabank/vscale/command/trial"
	"verbenabank/vscale/state/figure"
)

// Sizes and spans of the measurements.
const (
	fewShards = 64
	inRegion  = 1440 // daemons
	fewest    = 25
	window    = 3 * time.Second
	changes   = 20
	interval  = 100 * time.Millisecond
)

// measure goes through all sizes. A round that breaks off does not end it; what
// was measured is returned with the last error.
func measure(s settings, log logs) ([]figure.Point, error) {
	points, err := state(s.rounds)
	if err != nil {
		return points, err
	}
	for round := range s.rounds {
		p, broken := daemons(s, log, round)
		points = append(points, p...)
		if broken != nil {
			log.trial.WithError(broken).Errorf("vscale: round %d is not whole", round+1)
			err = broken
		}
	}
	for shards := fewShards * 4; shards <= s.shards; shards *= 4 {
		p, broken := shardsLive(s, log, shards)
		points = append(points, p...)
		if broken != nil {
			return points, broken
		}
	}
	return points, err
}

// state measures state and decisions without processes.
func state(rounds int) ([]figure.Point, error) {
	var points []figure.Point
	for range rounds {
		p, err := size.Measure([]int{64, 1024, 8192, 65536}, []int{400, 1800, 7200}, []int{1, 110, 330}, []int{1000, 10000})
		points = append(points, p...)
		if err != nil {
			return points, err
		}
		for _, shards := range []int{1024, 8192, 65536} {
			points = append(points, size.Plan(shards, inRegion)...)
		}
		for _, members := range []int{100, 400, inRegion, 7200} {
			points = append(points, size.Decide(members)...)
		}
	}
	return points, nil
}

// daemons measures one group with more and more daemons.
func daemons(s settings, log logs, round int) ([]figure.Point, error) {
	t, clean, err := begin(s, log, fewShards)
	if err != nil {
		return nil, err
	}
	defer clean()
	for count := fewest; count <= s.most; count *= 2 {
		if err := t.Grow(count); err != nil {
			return t.Points(), err
		}
		rates, err := t.Idle(window)
		if err != nil {
			return t.Points(), err
		}
		if err := t.Change(changes, interval, rates); err != nil {
			return t.Points(), err
		}
		if err := t.Lose(); err != nil {
			return t.Points(), err
		}
	}
	if round > 0 {
		return t.Points(), nil
	}
	return t.Points(), t.Pace([]time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second})
}

// shardsLive measures how long so many shards take to be granted.
func shardsLive(s settings, log logs, shards int) ([]figure.Point, error) {
	t, clean, err := begin(s, log, shards)
	if err != nil {
		return nil, err
	}
	defer clean()
	err = t.Fill(fewest)
	return t.Points(), err
}

func begin(s settings, log logs, shards int) (*trial.Trial, func(), error) {
	g, stop, err := group.New(group.WithDaemon(s.daemon), group.WithFolder(s.folder), group.WithSubnet(s.subnet))
	if err != nil {
		return nil, nil, err
	}
	t, end, err := trial.New(g, shards, log.trial, log.stands)
	if err != nil {
		stop()
		return nil, nil, err
	}
	return t, func() { end(); stop() }, nil
}
