package confd

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/rules"
)

func TestExamplesAreValidAndEachFileMatters(t *testing.T) {
	for user, sizes := range map[string]struct {
		slots, connections int
		services           []string
	}{
		"midlands":  {12, 130, []string{"bookings", "catalogue", "depot-desk"}},
		"southeast": {9, 70, []string{"certifier", "intake", "ledger-reader"}},
	} {
		is := is.New(t)
		folder := filepath.Join("../../../examples", user, "conf.d")
		c, err := Read(folder)
		is.NoErr(err)
		is.Equal(c.Rules().ServiceNames(), sizes.services)
		for _, name := range c.Rules().ServiceNames() {
			s, _ := c.Rules().Service(name)
			is.Equal(s.Slots(), sizes.slots)
			is.Equal(s.Connections(), sizes.connections)
			is.True(s.Repeatable("GET"))
			is.True(!s.Repeatable("POST"))
		}
		layers, err := ReadLayers(folder)
		is.NoErr(err)
		entries, err := os.ReadDir(folder)
		is.NoErr(err)
		is.Equal(len(layers), len(entries))
	}
}

func TestExampleWeightsFollowTheUsers(t *testing.T) {
	is := is.New(t)
	read := func(user string) rules.Rules {
		c, err := Read(filepath.Join("../../../examples", user, "conf.d"))
		is.NoErr(err)
		return c.Rules()
	}
	midlands, southeast := read("midlands"), read("southeast")
	for _, name := range midlands.ServiceNames() {
		s, _ := midlands.Service(name)
		is.True(s.Weights().Unavailable() > max(s.Weights().Churn(), s.Weights().Imbalance()))
	}
	for _, name := range southeast.ServiceNames() {
		s, _ := southeast.Service(name)
		is.True(s.Weights().Churn() > max(s.Weights().Unavailable(), s.Weights().Imbalance()))
	}
}

func TestRefusesWholeFolderForOneFault(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	write := func(name, text string) {
		is.NoErr(os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	kind := func() Kind {
		_, err := Read(folder)
		var e *Error
		is.True(errors.As(err, &e))
		return e.Kind()
	}
	write(".hidden.json", "{")
	write("a.json~", "{")
	is.Equal(kind(), KindEmpty)
	write("a.json", `{"version": 1, "services": {"a": {"pooled": {}}}}`)
	_, err := Read(folder)
	is.NoErr(err)
	write("b.jsonc", "{")
	is.Equal(kind(), KindInvalid)
	is.NoErr(os.RemoveAll(folder))
	is.Equal(kind(), KindUnreadable)
}
