package conf

import (
	"fmt"
	"path/filepath"

	"verbenabank/core/clock"
	"verbenabank/vload/state/plan"
)

// experiment is the JSON form of plan.Experiment. Missing fields take the defaults of
// package plan.
type experiment struct {
	Layout             string        `json:"layout"`
	Seed               *uint64       `json:"seed"`
	DurationMs         *clock.Millis `json:"length_ms"`
	SettleMs           *clock.Millis `json:"settle_ms"`
	TimeoutMs          *clock.Millis `json:"timeout_ms"`
	AnswerWithinMs     *clock.Millis `json:"answer_within_ms"`
	Rate               *float64      `json:"rate"`
	MaxInFlight        *int          `json:"in_flight"`
	MinAnsweredPercent float64       `json:"answered_percent"`
	Routing            string        `json:"routing"`
	Retry              string        `json:"retry"`
	ConnectFailover    bool          `json:"second_entry"`
	Keys               struct {
		Count    int     `json:"count"`
		Exponent float64 `json:"exponent"`
		Hot      []struct {
			AtMs    clock.Millis `json:"at_ms"`
			Keys    int          `json:"keys"`
			Percent float64      `json:"percent"`
		} `json:"hot"`
	} `json:"keys"`
	Mix []struct {
		Service     string  `json:"service"`
		Method      string  `json:"method"`
		Weight      float64 `json:"weight"`
		UploadBytes int     `json:"upload_bytes"`
		AnswerBytes int     `json:"answer_bytes"`
	} `json:"mix"`
	Faults []fault `json:"faults"`
}

// ReadExperiment reads the experiment in the file at path. The second result is the
// path of its layout, which is relative to the experiment file.
func ReadExperiment(path string) (plan.Experiment, string, error) {
	var x experiment
	if err := loadFile(path, &x); err != nil {
		return plan.Experiment{}, "", err
	}
	e, err := x.decode()
	if err != nil {
		return plan.Experiment{}, "", err
	}
	return e, filepath.Join(filepath.Dir(path), x.Layout), nil
}

func (x experiment) decode() (plan.Experiment, error) {
	routing, err := DecodeRouting(x.Routing)
	if err != nil {
		return plan.Experiment{}, err
	}
	retry, err := DecodeRetry(x.Retry)
	if err != nil {
		return plan.Experiment{}, err
	}
	var faults []plan.Fault
	for _, f := range x.Faults {
		list, err := f.decode()
		if err != nil {
			return plan.Experiment{}, err
		}
		faults = append(faults, list...)
	}
	return plan.New(
		plan.WithSeed(valueOr(x.Seed, plan.DefaultSeed)),
		plan.WithDuration(valueOr(x.DurationMs, plan.DefaultDuration), valueOr(x.SettleMs, plan.DefaultSettle)),
		plan.WithTimeout(valueOr(x.TimeoutMs, plan.DefaultTimeout), valueOr(x.AnswerWithinMs, plan.DefaultAnswerWithin)),
		plan.WithRate(valueOr(x.Rate, plan.DefaultRate), valueOr(x.MaxInFlight, plan.DefaultMaxInFlight)),
		plan.WithMinAnsweredPercent(x.MinAnsweredPercent),
		plan.WithRouting(routing), plan.WithRetry(retry), plan.WithConnectFailover(x.ConnectFailover),
		plan.WithKeys(x.decodeKeys()), plan.WithMix(x.decodeMix()...), plan.WithFaults(faults...),
	), nil
}

func (x experiment) decodeKeys() plan.KeyDistribution {
	hot := make([]plan.HotSet, 0, len(x.Keys.Hot))
	for _, h := range x.Keys.Hot {
		hot = append(hot, plan.NewHotSet(h.AtMs, h.Keys, h.Percent))
	}
	return plan.NewKeyDistribution(max(x.Keys.Count, 1), x.Keys.Exponent, hot)
}

func (x experiment) decodeMix() []plan.RequestKind {
	mix := make([]plan.RequestKind, 0, len(x.Mix))
	for _, m := range x.Mix {
		mix = append(mix, plan.NewRequestKind(m.Service, m.Method, m.Weight, m.UploadBytes, m.AnswerBytes))
	}
	return mix
}

// DecodeRouting parses the name of a routing policy. An empty name stands for the
// daemons.
func DecodeRouting(name string) (plan.Routing, error) {
	switch name {
	case "", "daemons":
		return plan.Daemons{}, nil
	case "modulo":
		return plan.Modulo{}, nil
	case "random":
		return plan.Random{}, nil
	case "round-robin":
		return plan.RoundRobin{}, nil
	}
	return nil, fail("decode", Invalid, fmt.Errorf("routing %q is not daemons, modulo, random or round-robin", name))
}

// DecodeRetry parses the name of a retry policy. An empty name stands for no retries.
func DecodeRetry(name string) (plan.Retry, error) {
	switch name {
	case "", "none":
		return plan.RetryNone{}, nil
	case "all":
		return plan.RetryAll{}, nil
	}
	return nil, fail("decode", Invalid, fmt.Errorf("retry %q is not none or all", name))
}
