package main

import (
	"time"

	"verbenabank/vscale/command/group"
	"verbenabank/vscale/command/micro"
	"verbenabank/vscale/command/trial"
	"verbenabank/vscale/state/figure"
)

// Sizes and durations of the measurements.
const (
	minShards      = 64
	regionDaemons  = 1440
	minDaemons     = 25
	idleWindow     = 3 * time.Second
	changeCount    = 20
	changeInterval = 100 * time.Millisecond
)

// measure runs the measurements at all sizes. A round that fails does not end it;
// the points measured so far are returned with the last error.
func measure(o options, log loggers) ([]figure.Point, error) {
	points, err := measureState(o.rounds)
	if err != nil {
		return points, err
	}
	for round := range o.rounds {
		p, roundErr := measureGroup(o, log, round)
		points = append(points, p...)
		if roundErr != nil {
			log.trial.WithError(roundErr).Errorf("vscale: round %d is not whole", round+1)
			err = roundErr
		}
	}
	for shards := minShards * 4; shards <= o.maxShards; shards *= 4 {
		p, roundErr := measureShards(o, log, shards)
		points = append(points, p...)
		if roundErr != nil {
			return points, roundErr
		}
	}
	return points, err
}

// Sizes of the fleet and number of configurations of a measurement of their delivery.
var deliverySizes = []int{30, 100, 300}

const deliveryCount = 10

// measureDelivery measures how long after its acknowledgement each daemon uses a configuration.
func measureDelivery(o options, log loggers) ([]figure.Point, error) {
	t, cleanup, err := newTrial(o, log, minShards)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	for _, count := range deliverySizes {
		if err := t.GrowTo(count); err != nil {
			return t.Points(), err
		}
		if err := t.MeasureDelivery(deliveryCount); err != nil {
			return t.Points(), err
		}
	}
	return t.Points(), nil
}

// measureState measures the replicated state and the decisions of the leader in this
// process.
func measureState(rounds int) ([]figure.Point, error) {
	var points []figure.Point
	for range rounds {
		p, err := micro.MeasureState([]int{64, 1024, 8192, 65536}, []int{400, 1800, 7200}, []int{1, 110, 330}, []int{1000, 10000})
		points = append(points, p...)
		if err != nil {
			return points, err
		}
		for _, shards := range []int{1024, 8192, 65536} {
			points = append(points, micro.MeasurePlacement(shards, regionDaemons)...)
		}
		for _, members := range []int{100, 400, regionDaemons, 7200} {
			points = append(points, micro.MeasureRenewals(members)...)
		}
	}
	return points, nil
}

// measureGroup measures a control group while the number of daemons doubles up to
// the maximum.
func measureGroup(o options, log loggers, round int) ([]figure.Point, error) {
	t, cleanup, err := newTrial(o, log, minShards)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	for count := minDaemons; count <= o.maxDaemons; count *= 2 {
		if err := t.GrowTo(count); err != nil {
			return t.Points(), err
		}
		rates, err := t.MeasureIdle(idleWindow)
		if err != nil {
			return t.Points(), err
		}
		if err := t.MeasureChanges(changeCount, changeInterval, rates); err != nil {
			return t.Points(), err
		}
		if err := t.MeasureLeaderLoss(); err != nil {
			return t.Points(), err
		}
	}
	if round > 0 {
		return t.Points(), nil
	}
	return t.Points(), t.MeasureChangeIntervals([]time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second})
}

// measureShards measures how long a new group takes to grant shards.
func measureShards(o options, log loggers, shards int) ([]figure.Point, error) {
	t, cleanup, err := newTrial(o, log, shards)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	err = t.MeasureGrants(minDaemons)
	return t.Points(), err
}

func newTrial(o options, log loggers, shards int) (*trial.Trial, func(), error) {
	g, stop, err := group.New(group.WithDaemonPath(o.daemonPath), group.WithFolder(o.folder), group.WithSubnet(o.subnet))
	if err != nil {
		return nil, nil, err
	}
	t, end, err := trial.New(g, shards, log.trial, log.standIns)
	if err != nil {
		stop()
		return nil, nil, err
	}
	return t, func() { end(); stop() }, nil
}
