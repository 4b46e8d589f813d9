package admin

import (
	"github.com/gofiber/fiber/v3"

	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// route says who owns a key, by this daemon's table.
func (a *Admin) route(c fiber.Ctx) error {
	name, key := c.Query("service"), c.Query("key")
	t := a.cell.Load().Table()
	s, ok := t.Rules().Service(name)
	if !ok {
		return problem(c, fiber.StatusNotFound, "no service has this name")
	}
	k, ok := s.Kind().(rules.Keyed)
	if !ok {
		return problem(c, fiber.StatusBadRequest, "the service is pooled: any of its targets may serve the key")
	}
	if key == "" {
		return problem(c, fiber.StatusBadRequest, "the key is missing")
	}
	sh := t.ShardOf(name, key, k.Shards())
	answer := struct {
		Service string `json:"service"`
		Key     string `json:"key"`
		Shard   uint32 `json:"shard"`
		Alone   bool   `json:"placed_alone"`
		Epoch   uint64 `json:"epoch"`
		Owner   string `json:"owner"`
		Address string `json:"address"`
		State   string `json:"state"`
		Why     string `json:"why"`
	}{Service: name, Key: key, Shard: uint32(sh), Alone: sh >= table.FirstOverride}
	h := t.Ownership(name, sh)
	answer.Epoch = uint64(h.Epoch())
	switch h := h.(type) {
	case table.Vacant:
		answer.State, answer.Why = "vacant", "no member owns the shard; it is granted as soon as one can"
	case table.Owned:
		m, _ := t.Member(h.Owner())
		answer.State, answer.Owner, answer.Address = "owned", m.Instance(), m.Address()
		answer.Why = "the shard of the key was granted to this member"
	case table.Moving:
		m, _ := t.Member(h.From())
		to, _ := t.Member(h.To())
		answer.State, answer.Owner, answer.Address = "moving", m.Instance(), m.Address()
		answer.Why = "the owner finishes what is in flight, then hands over to " + to.Instance()
	}
	return c.JSON(answer)
}

func problem(c fiber.Ctx, code int, text string) error {
	return c.Status(code).JSON(struct {
		Error string `json:"error"`
	}{Error: text})
}

// rules answers the configuration in force, as canonical JSON.
func (a *Admin) rules(c fiber.Ctx) error {
	r := a.cell.Load().Table().Rules()
	if r.Version() == 0 {
		return problem(c, fiber.StatusServiceUnavailable, "no configuration is known yet")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(r.Content())
}

// trail answers the audit trail, oldest first.
func (a *Admin) trail(c fiber.Ctx) error {
	records, err := a.audit()
	if err != nil {
		return problem(c, fiber.StatusServiceUnavailable, err.Error())
	}
	type row struct {
		Index   uint64 `json:"index"`
		UnixMs  int64  `json:"unix_ms"`
		Author  string `json:"author"`
		Subject string `json:"subject"`
		From    string `json:"from"`
		To      string `json:"to"`
		Outcome string `json:"outcome"`
	}
	rows := []row{}
	for _, r := range records {
		rows = append(rows, row{
			Index: r.Index(), UnixMs: int64(r.Timestamp()), Author: r.Author(), Subject: r.Subject(),
			From: r.From(), To: r.To(), Outcome: r.Outcome(),
		})
	}
	return c.JSON(rows)
}
