package local

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"verbenabank/verbena/query/show"
)

// longestLine is the size in bytes of the longest log line that is read.
const longestLine = 1 << 20

// event is one log line.
type event struct {
	Time     string         `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"msg"`
	Fields   map[string]any `json:"fields"`
}

// keysOf finds the keys in the subject of a change of the fleet, such as "keys s/10-20".
var keysOf = regexp.MustCompile(`^keys [^/]+/(\d+)-(\d+)$`)

// around is how far from the lines of a request those of the daemons on its way are told.
const around = 2 * time.Second

// states are the beginnings of lines about the state of a daemon rather than one request.
var states = []string{"serve:", "link:", "pulse:", "probe:", "keeper:", "ctrl: own", "ctrl: target"}

// StoryOf tells what the logs of many processes say of one request and of the calls that its
// target made for it, whose ids begin with its own and a dot, in time order: and what became of
// the daemons on its way at that time.
func StoryOf(request string, files []string) (show.Report, error) {
	list, unread, err := gather(files, func(e event) bool { return of(e, request) || tells(e) })
	if err != nil {
		return show.Report{}, err
	}
	way, begin, end := map[string]bool{}, "", ""
	for _, e := range list {
		if !of(e, request) {
			continue
		}
		way[e.Instance] = true
		if by, ok := e.Fields["by"].(string); ok {
			way[by] = true
		}
		if begin == "" || e.Time < begin {
			begin = e.Time
		}
		end = max(end, e.Time)
	}
	begin, end = shifted(begin, -around), shifted(end, around)
	list = slices.DeleteFunc(list, func(e event) bool {
		return !of(e, request) && (!way[e.Instance] || e.Time < begin || e.Time > end)
	})
	return story(list, unread), nil
}

// tells reports whether a line is about the state of a daemon.
func tells(e event) bool {
	return slices.ContainsFunc(states, func(s string) bool { return strings.HasPrefix(e.Message, s) })
}

// of reports whether a line is about the request or a call for it.
func of(e event, request string) bool {
	id, _ := e.Fields["request"].(string)
	return id == request || strings.HasPrefix(id, request+".")
}

// layout is how the processes write instants.
const layout = "2006-01-02T15:04:05.000Z07:00"

// shifted returns an instant moved by a span, "" if it is none.
func shifted(instant string, by time.Duration) string {
	t, err := time.Parse(layout, instant)
	if err != nil {
		return ""
	}
	return t.Add(by).Format(layout)
}

// StoryOfKey tells what the logs say of a key that is a number: who held it, and the
// requests for it that had no answer.
func StoryOfKey(key uint32, files []string) (show.Report, error) {
	list, unread, err := gather(files, func(e event) bool { return concerns(e, uint64(key)) })
	if err != nil {
		return show.Report{}, err
	}
	return story(list, unread), nil
}

func concerns(e event, key uint64) bool {
	if e.Fields["key"] == strconv.FormatUint(key, 10) {
		return true
	}
	if subject, ok := e.Fields["subject"].(string); ok {
		if m := keysOf.FindStringSubmatch(subject); m != nil {
			first, _ := strconv.ParseUint(m[1], 10, 32)
			last, _ := strconv.ParseUint(m[2], 10, 32)
			return first <= key && key <= last
		}
	}
	first, ok := e.Fields["first"].(float64)
	last, too := e.Fields["last"].(float64)
	return ok && too && first <= float64(key) && float64(key) <= last
}

// gather returns the lines of all files that fit, and how many cannot be read.
func gather(files []string, fits func(event) bool) ([]event, int, error) {
	var list []event
	unread := 0
	for _, f := range files {
		found, bad, err := events(f, fits)
		if err != nil {
			return nil, 0, err
		}
		list, unread = append(list, found...), unread+bad
	}
	return list, unread, nil
}

// story tells lines in time order, and how many could not be read.
func story(list []event, unread int) show.Report {
	slices.SortStableFunc(list, func(a, b event) int { return cmp.Compare(a.Time, b.Time) })
	var text strings.Builder
	for _, e := range list {
		fmt.Fprintf(&text, "%s\t%s\t%s\t%s\n", e.Time, e.Instance, e.Message, facts(e.Fields))
	}
	if unread > 0 {
		fmt.Fprintf(&text, "%d lines are no log lines in JSON and were left out\n", unread)
	}
	status := show.OK
	if len(list) == 0 {
		status = show.Problem
		text.WriteString("no line is about that; was it answered, or was the line summed up or dropped?\n")
	}
	return show.NewReport(status, list, text.String())
}

// events reads the lines of a file that fit, and counts those that cannot be read. "-" is
// standard input.
func events(file string, fits func(event) bool) ([]event, int, error) {
	var in io.Reader = os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, 0, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	var list []event
	unread := 0
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		line := lines.Text()
		begin := strings.IndexByte(line, '{') // collectors put their own words before
		e := event{}
		if begin < 0 || json.Unmarshal([]byte(line[begin:]), &e.Fields) != nil {
			unread++
			continue
		}
		e.Time, e.Instance, e.Message = word(e.Fields, "time"), word(e.Fields, "instance"), word(e.Fields, "msg")
		delete(e.Fields, "level")
		if fits(e) {
			list = append(list, e)
		}
	}
	return list, unread, lines.Err()
}

// word takes a text out of the fields.
func word(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

func facts(fields map[string]any) string {
	var list []string
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		if text := fmt.Sprint(fields[k]); text != "" {
			list = append(list, k+"="+text)
		}
	}
	return strings.Join(list, " ")
}
