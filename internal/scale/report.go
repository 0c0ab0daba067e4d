// Package scale measures what a sender and its fleet cost as they grow: many hollow senders (the decision module
// itself, without sockets) under a virtual clock, against stand-ins of endpoints, and the journal where its cost is
// what counts. Results go into a [Report]: slopes from at least four sizes each, extrapolated to the target.
//
// The measuring itself is in the tests of the package; `.ci/scale` runs the large part of it. The package is not for
// the sender itself.
package scale

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

// MinSizes is the number of different sizes below which a series gets no fit.
const MinSizes = 4

// Point is one measured size: X in the XUnit of its series, Y in its YUnit.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a law fitted to points by least squares. Form is "linear" (Y = Base + Slope*X), "power"
// (Y = Base * X^Slope) or "none" (too few sizes; the figures are 0). R2 is the share of the variance of Y that the law
// explains, for both forms in Y's own unit; 1 is all of it, under 0 it is worse than the mean.
type Fit struct {
	Form  string  `json:"form"`
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	R2    float64 `json:"r2"`
}

// Series is one figure measured at several sizes. Fixed names what was held still, by name and value with the unit in
// the name. TargetX is the size that the target means for one sender, AtTarget the figure there, in YUnit: measured
// where a point has just that X, else from the fit. Limit is what AtTarget may be at most, in YUnit; 0 if there is no
// such bound. Fit and AtTarget are filled by [Report.Add].
type Series struct {
	Name     string             `json:"name"`
	XUnit    string             `json:"x_unit"`
	YUnit    string             `json:"y_unit"`
	Fixed    map[string]float64 `json:"fixed,omitempty"`
	Points   []Point            `json:"points"`
	Fit      Fit                `json:"fit"`
	TargetX  float64            `json:"target_x,omitempty"`
	AtTarget float64            `json:"at_target,omitempty"`
	Limit    float64            `json:"limit,omitempty"`
	Note     string             `json:"note,omitempty"`
}

// Fact is one figure without a slope, in Unit. Limit is what it may be at most; 0 if there is no such bound.
type Fact struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit,omitempty"`
	Note  string  `json:"note,omitempty"`
}

// Report is what one run has measured. At is its UTC time as in RFC 3339, Command what was called, Commit the short
// commit that ran, with a plus sign if files differed from it. Failed says that a test of the run failed. Its methods
// may be called from several goroutines.
type Report struct {
	Commit       string   `json:"commit"`
	StartedAt    string   `json:"at"`
	Command      string   `json:"command"`
	Go           string   `json:"go"`
	Cores        int      `json:"cores"` // that the run may use
	MachineCores int      `json:"machine_cores"`
	Failed       bool     `json:"failed"`
	Series       []Series `json:"series"`
	Facts        []Fact   `json:"facts"`

	mu sync.Mutex
}

// NewReport begins a report for a run at the present time.
func NewReport(commit, command string) *Report {
	return &Report{Commit: commit, StartedAt: time.Now().UTC().Format(time.RFC3339), Command: command,
		Go: runtime.Version(), Cores: runtime.GOMAXPROCS(0), MachineCores: runtime.NumCPU()}
}

// AddSeries takes a series, fits it and works out its figure at the target. A fit on fewer than [LeastSizes] different sizes
// is refused: its Form is "none".
func (r *Report) AddSeries(s Series) {
	s.Fit = FitPoints(s.Points)
	s.AtTarget = 0
	if s.TargetX != 0 {
		s.AtTarget = s.Fit.At(s.TargetX)
		for _, p := range s.Points {
			if p.X == s.TargetX {
				s.AtTarget = p.Y
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Series = append(r.Series, s)
}

// AddFact takes a fact.
func (r *Report) AddFact(f Fact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Facts = append(r.Facts, f)
}

// At is the figure that the law gives at x; 0 if there is no law.
func (f Fit) At(x float64) float64 {
	switch f.Form {
	case "linear":
		return f.Base + f.Slope*x
	case "power":
		return f.Base * math.Pow(x, f.Slope)
	}
	return 0
}

// maxPowerErrorRatio is the part of the line's error that a power law's must be under to be taken in its place.
const maxPowerErrorRatio = 0.5

// FitPoints fits a straight line, or a power law where a line is poor: where the power law is off by less than half as
// much, as a factor over all points. (R2 alone does not tell: the largest size outweighs all others in it.) Points
// whose figures are not finite are left out.
func FitPoints(points []Point) Fit {
	var xs, ys []float64
	sizes := map[float64]bool{}
	positive := true
	for _, p := range points {
		if math.IsNaN(p.X+p.Y) || math.IsInf(p.X, 0) || math.IsInf(p.Y, 0) {
			continue
		}
		xs, ys = append(xs, p.X), append(ys, p.Y)
		sizes[p.X] = true
		positive = positive && p.X > 0 && p.Y > 0
	}
	if len(sizes) < MinSizes {
		return Fit{Form: "none"}
	}
	line := Fit{Form: "linear"}
	line.Base, line.Slope = leastSquares(xs, ys)
	line.R2 = rSquared(xs, ys, line)
	if !positive {
		return line
	}
	logs := func(v []float64) (out []float64) {
		for _, x := range v {
			out = append(out, math.Log(x))
		}
		return out
	}
	power := Fit{Form: "power"}
	base, slope := leastSquares(logs(xs), logs(ys))
	power.Base, power.Slope = math.Exp(base), slope
	power.R2 = rSquared(xs, ys, power)
	if logRMSError(xs, ys, power) < maxPowerErrorRatio*logRMSError(xs, ys, line) {
		return power
	}
	return line
}

// logRMSError is the root of the mean square of the logarithm of measured over fitted; infinite where the law is not above 0.
// What is under a thousandth counts as that: a law that meets all points needs no better one.
func logRMSError(xs, ys []float64, f Fit) float64 {
	sum := 0.0
	for i := range xs {
		y := f.At(xs[i])
		if y <= 0 {
			return math.Inf(1)
		}
		x := math.Log(ys[i] / y)
		sum += x * x
	}
	return max(math.Sqrt(sum/float64(len(xs))), 1e-3)
}

func leastSquares(xs, ys []float64) (base, slope float64) {
	mx, my := mean(xs), mean(ys)
	var sxy, sxx float64
	for i := range xs {
		sxy += (xs[i] - mx) * (ys[i] - my)
		sxx += (xs[i] - mx) * (xs[i] - mx)
	}
	slope = sxy / sxx
	return my - slope*mx, slope
}

// rSquared is R2. Figures that are all the same are explained by any law that meets them.
func rSquared(xs, ys []float64, f Fit) float64 {
	my := mean(ys)
	var off, all float64
	for i := range xs {
		d := ys[i] - f.At(xs[i])
		off += d * d
		all += (ys[i] - my) * (ys[i] - my)
	}
	if all == 0 {
		return 1
	}
	return 1 - off/all
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

// Median is the middle of the figures, the lower of two; 0 of none.
func Median[T cmp.Ordered](v []T) (m T) {
	if len(v) > 0 {
		s := slices.Sorted(slices.Values(v))
		m = s[(len(s)-1)/2]
	}
	return m
}

// Tables is the report as text: a table of the series, each with its points below, and one of the facts.
func (r *Report) Tables() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%s  commit %s  %s  %d of %d cores\n%s\n", r.StartedAt, r.Commit, r.Go, r.Cores, r.MachineCores, r.Command)
	if r.Failed {
		b.WriteString("A TEST OF THIS RUN FAILED.\n")
	}
	rows := [][]string{{"series", "against", "fit", "R2", "target x", "at target", "limit", "of limit", "held still"}}
	for _, s := range r.Series {
		law := "none: too few sizes"
		switch s.Fit.Form {
		case "linear":
			law = fmt.Sprintf("%s + %s x", formatNumber(s.Fit.Base), formatNumber(s.Fit.Slope))
		case "power":
			law = fmt.Sprintf("%s x^%.2f", formatNumber(s.Fit.Base), s.Fit.Slope)
		}
		row := []string{s.Name, s.XUnit, law, fmt.Sprintf("%.3f", s.Fit.R2), "", "", "", "", ""}
		for _, name := range slices.Sorted(maps.Keys(s.Fixed)) {
			row[8] += name + "=" + formatNumber(s.Fixed[name]) + " "
		}
		if s.TargetX != 0 && s.Fit.Form == "none" && s.AtTarget == 0 {
			row[4], row[5] = formatNumber(s.TargetX), "not known"
		} else if s.TargetX != 0 {
			row[4], row[5] = formatNumber(s.TargetX), formatNumber(s.AtTarget)+" "+s.YUnit
		}
		if s.Limit != 0 {
			row[6], row[7] = formatNumber(s.Limit), fmt.Sprintf("%.0f%%", 100*s.AtTarget/s.Limit)
		}
		rows = append(rows, row)
	}
	b.WriteString("\n")
	writeColumns(&b, rows)
	for _, s := range r.Series {
		fmt.Fprintf(&b, "\n%s\n", s.Name)
		for _, name := range slices.Sorted(maps.Keys(s.Fixed)) {
			fmt.Fprintf(&b, "  %s: %s\n", name, formatNumber(s.Fixed[name]))
		}
		if s.Note != "" {
			fmt.Fprintf(&b, "  %s\n", s.Note)
		}
		x, y := []string{"  " + s.XUnit}, []string{"  " + s.YUnit}
		for _, p := range s.Points {
			x, y = append(x, formatNumber(p.X)), append(y, formatNumber(p.Y))
		}
		writeColumns(&b, [][]string{x, y})
	}
	if len(r.Facts) > 0 {
		rows = [][]string{{"fact", "value", "unit", "limit", "note"}}
		for _, f := range r.Facts {
			limit := ""
			if f.Limit != 0 {
				limit = formatNumber(f.Limit)
			}
			rows = append(rows, []string{f.Name, formatNumber(f.Value), f.Unit, limit, f.Note})
		}
		b.WriteString("\n")
		writeColumns(&b, rows)
	}
	return b.String()
}

// writeColumns writes rows of equal length as columns.
func writeColumns(b *strings.Builder, rows [][]string) {
	wide := make([]int, len(rows[0]))
	for _, row := range rows {
		for i, cell := range row {
			wide[i] = max(wide[i], len([]rune(cell)))
		}
	}
	for _, row := range rows {
		var line strings.Builder
		for i, cell := range row {
			fmt.Fprintf(&line, "%-*s  ", wide[i], cell)
		}
		b.WriteString(strings.TrimRight(line.String(), " ") + "\n")
	}
}

// formatNumber writes a number with four digits that count, large ones without an exponent.
func formatNumber(x float64) string {
	if a := math.Abs(x); a >= 1000 && a < 1e15 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.4g", x)
}

// Write puts the report as JSON into a file of dir, which is made if it is not there, and returns its path. The file's
// name is the report's time and commit. Figures that are not finite, which JSON can't tell, are written as 0.
func (r *Report) Write(dir string) (path string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.Series {
		s := &r.Series[i]
		for _, x := range []*float64{&s.Fit.Base, &s.Fit.Slope, &s.Fit.R2, &s.TargetX, &s.AtTarget, &s.Limit} {
			zeroIfNotFinite(x)
		}
		for i := range s.Points {
			zeroIfNotFinite(&s.Points[i].X)
			zeroIfNotFinite(&s.Points[i].Y)
		}
	}
	for i := range r.Facts {
		zeroIfNotFinite(&r.Facts[i].Value)
		zeroIfNotFinite(&r.Facts[i].Limit)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	name := strings.NewReplacer(":", "", "-", "").Replace(r.StartedAt) + "-" + strings.TrimSuffix(cmp.Or(r.Commit, "none"), "+")
	path = filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return path, nil
}

func zeroIfNotFinite(x *float64) {
	if math.IsNaN(*x) || math.IsInf(*x, 0) {
		*x = 0
	}
}
