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

// maxLineBytes limits the length of a log line; a longer one fails the read.
const maxLineBytes = 1 << 20

// logEntry is a parsed log line.
type logEntry struct {
	Time     string         `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"msg"`
	Fields   map[string]any `json:"fields"`
}

// keyRangePattern matches the key range in the subject of a "ctrl: change of the fleet"
// line, such as "keys s/10-20".
var keyRangePattern = regexp.MustCompile(`^keys [^/]+/(\d+)-(\d+)$`)

// rowPattern matches the ranges in the lists of keys of a "keeper:" line, such as "10-20@7".
var rowPattern = regexp.MustCompile(`(\d+)-(\d+)(?:@\d+)?`)

// keyLists are the fields with lists of key ranges: what a target holds, is offered and has freed.
var keyLists = []string{"held", "offered", "freed"}

// contextWindow is how long before the first and after the last line of a request the state
// changes of the daemons that handled it are included.
const contextWindow = 2 * time.Second

// daemonStatePrefixes are the prefixes of log lines about the state of a daemon rather than
// about a single request.
var daemonStatePrefixes = []string{"serve:", "link:", "pulse:", "probe:", "keeper:", "ctrl: own", "ctrl: target"}

// RequestTimeline merges the log entries of many processes about a request in time order. It
// includes the nested requests that the target made while it handled the request, whose ids are
// the id of the request, a dot and a suffix, and the state changes of the daemons that handled
// them within contextWindow.
func RequestTimeline(request string, files []string) (show.Report, error) {
	entries, malformed, err := readFiles(files, func(e logEntry) bool { return belongsTo(e, request) || isDaemonState(e) })
	if err != nil {
		return show.Report{}, err
	}
	instances, begin, end := map[string]bool{}, "", ""
	for _, e := range entries {
		if !belongsTo(e, request) {
			continue
		}
		instances[e.Instance] = true
		if by, ok := e.Fields["by"].(string); ok {
			instances[by] = true
		}
		if begin == "" || e.Time < begin {
			begin = e.Time
		}
		end = max(end, e.Time)
	}
	begin, end = shiftTime(begin, -contextWindow), shiftTime(end, contextWindow)
	entries = slices.DeleteFunc(entries, func(e logEntry) bool {
		return !belongsTo(e, request) && (!instances[e.Instance] || e.Time < begin || e.Time > end)
	})
	return timelineReport(entries, malformed), nil
}

// isDaemonState reports whether an entry is about the state of a daemon.
func isDaemonState(e logEntry) bool {
	return slices.ContainsFunc(daemonStatePrefixes, func(s string) bool { return strings.HasPrefix(e.Message, s) })
}

// belongsTo reports whether an entry is about the request or a nested request of it.
func belongsTo(e logEntry, request string) bool {
	id, _ := e.Fields["request"].(string)
	return id == request || strings.HasPrefix(id, request+".")
}

// timeFormat is the time format of the log lines.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// shiftTime adds a duration to a formatted time. It returns "" if the time cannot be parsed.
func shiftTime(timestamp string, by time.Duration) string {
	t, err := time.Parse(timeFormat, timestamp)
	if err != nil {
		return ""
	}
	return t.Add(by).Format(timeFormat)
}

// KeyTimeline lists the log entries about a key of an ordered service in time order: changes of
// its owner, grants of ranges that contain it, what a target reports to hold or to have freed, and failed
// requests for it.
func KeyTimeline(key uint32, files []string) (show.Report, error) {
	entries, malformed, err := readFiles(files, func(e logEntry) bool { return mentionsKey(e, uint64(key)) })
	if err != nil {
		return show.Report{}, err
	}
	return timelineReport(entries, malformed), nil
}

func mentionsKey(e logEntry, key uint64) bool {
	if e.Fields["key"] == strconv.FormatUint(key, 10) {
		return true
	}
	if subject, ok := e.Fields["subject"].(string); ok {
		if m := keyRangePattern.FindStringSubmatch(subject); m != nil {
			return rangeContains(m, key)
		}
	}
	for _, name := range keyLists {
		list, _ := e.Fields[name].(string)
		if slices.ContainsFunc(rowPattern.FindAllStringSubmatch(list, -1), func(m []string) bool { return rangeContains(m, key) }) {
			return true
		}
	}
	first, ok := e.Fields["first"].(float64)
	last, okLast := e.Fields["last"].(float64)
	return ok && okLast && first <= float64(key) && float64(key) <= last
}

// rangeContains reports whether the range of a match, its first and last key, contains the key.
func rangeContains(match []string, key uint64) bool {
	first, _ := strconv.ParseUint(match[1], 10, 32)
	last, _ := strconv.ParseUint(match[2], 10, 32)
	return first <= key && key <= last
}

// readFiles returns the matching entries of all files, and the number of malformed lines.
func readFiles(files []string, match func(logEntry) bool) ([]logEntry, int, error) {
	var entries []logEntry
	malformed := 0
	for _, f := range files {
		found, skipped, err := readFile(f, match)
		if err != nil {
			return nil, 0, err
		}
		entries, malformed = append(entries, found...), malformed+skipped
	}
	return entries, malformed, nil
}

// timelineReport sorts the entries by time and mentions the number of malformed lines.
func timelineReport(entries []logEntry, malformed int) show.Report {
	slices.SortStableFunc(entries, func(a, b logEntry) int { return cmp.Compare(a.Time, b.Time) })
	var text strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&text, "%s\t%s\t%s\t%s\n", e.Time, e.Instance, e.Message, formatFields(e.Fields))
	}
	if malformed > 0 {
		fmt.Fprintf(&text, "%d lines are no log lines in JSON and were left out\n", malformed)
	}
	status := show.OK
	if len(entries) == 0 {
		status = show.Problem
		text.WriteString("no line is about that; was it answered, or was the line summed up or dropped?\n")
	}
	return show.NewReport(status, entries, text.String())
}

// readFile returns the matching entries of a file, and the number of malformed lines. "-" is
// standard input.
func readFile(file string, match func(logEntry) bool) ([]logEntry, int, error) {
	var in io.Reader = os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, 0, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	var entries []logEntry
	malformed := 0
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		begin := strings.IndexByte(line, '{') // log collectors prepend fields of their own
		e := logEntry{}
		if begin < 0 || json.Unmarshal([]byte(line[begin:]), &e.Fields) != nil {
			malformed++
			continue
		}
		e.Time, e.Instance, e.Message = takeString(e.Fields, "time"), takeString(e.Fields, "instance"), takeString(e.Fields, "msg")
		delete(e.Fields, "level")
		if match(e) {
			entries = append(entries, e)
		}
	}
	return entries, malformed, lines.Err()
}

// takeString removes a string field and returns its value, "" if there is none.
func takeString(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

func formatFields(fields map[string]any) string {
	var list []string
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		if text := fmt.Sprint(fields[k]); text != "" {
			list = append(list, k+"="+text)
		}
	}
	return strings.Join(list, " ")
}
