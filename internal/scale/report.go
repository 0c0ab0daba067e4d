// Package scale measures the cost of a sender and its fleet by their size: many simulated senders (the decision logic
// without sockets) under a virtual clock with simulated endpoints, and the journal on disk. The results go into a
// [Report]: series of at least four sizes each, fitted and extrapolated to the target.
//
// The measurements are tests of the package; `.ci/scale` runs the large ones. The sender does not use this package.
//
// Series and facts of the reports call a simulated sender "hollow".
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

// MinSizes is the least number of different sizes of a series that gets a fit.
const MinSizes = 4

// Point is one measured size: X in the XUnit of its series, Y in its YUnit.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a function fitted to points by least squares. Form is "linear" (Y = Base + Slope*X), "power"
// (Y = Base * X^Slope) or "none" (too few sizes; the other fields are 0). R2 is the share of the variance of Y that the
// fit explains, for both forms in the unit of Y; 1 is all of it, below 0 the fit is worse than the mean.
type Fit struct {
	Form  string  `json:"form"`
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	R2    float64 `json:"r2"`
}

// Series is one quantity measured at several sizes. Fixed holds the parameters that were kept constant; their names
// contain the unit. TargetX is the size at the target, AtTarget the value there, in YUnit: the measured one if a point
// has this X, else that of the fit. Limit is the upper bound of AtTarget, in YUnit; 0 means no bound. Fit and AtTarget
// are filled in by [Report.AddSeries].
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

// Fact is a single value in Unit, without a fit. Limit is its upper bound; 0 means no bound.
type Fact struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit,omitempty"`
	Note  string  `json:"note,omitempty"`
}

// Report holds the results of one run. StartedAt is its UTC time as in RFC 3339, Command the command line, Commit the
// short commit that ran, with a plus sign if files differed from it. Failed says that a test of the run failed. Its
// methods are safe for concurrent use.
type Report struct {
	Commit       string   `json:"commit"`
	StartedAt    string   `json:"at"`
	Command      string   `json:"command"`
	Go           string   `json:"go"`
	Cores        int      `json:"cores"` // cores that the run may use
	MachineCores int      `json:"machine_cores"`
	Failed       bool     `json:"failed"`
	Series       []Series `json:"series"`
	Facts        []Fact   `json:"facts"`

	mu sync.Mutex
}

// NewReport returns a report for a run that starts now.
func NewReport(commit, command string) *Report {
	return &Report{Commit: commit, StartedAt: time.Now().UTC().Format(time.RFC3339), Command: command,
		Go: runtime.Version(), Cores: runtime.GOMAXPROCS(0), MachineCores: runtime.NumCPU()}
}

// AddSeries adds a series, fits it and computes its value at the target. A series with fewer than [MinSizes] different
// sizes gets no fit: its Form is "none".
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

// AddFact adds a fact.
func (r *Report) AddFact(f Fact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Facts = append(r.Facts, f)
}

// At returns the value of the fit at x; 0 if Form is "none".
func (f Fit) At(x float64) float64 {
	switch f.Form {
	case "linear":
		return f.Base + f.Slope*x
	case "power":
		return f.Base * math.Pow(x, f.Slope)
	}
	return 0
}

// maxPowerErrorRatio is the ratio of the power law's error to the line's error below which the power law is used.
const maxPowerErrorRatio = 0.5

// FitPoints fits a straight line, or a power law where its relative error over all points is less than half that of the
// line. (R2 alone is no criterion: the largest size outweighs all others in it.) Points that are not finite are left
// out.
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

// logRMSError returns the root mean square of the logarithm of the measured value over the fitted one; infinity if a
// fitted value is not above 0. An error below 0.001 counts as 0.001: a line that meets all points is not replaced by a
// power law.
func logRMSError(xs, ys []float64, f Fit) float64 {
	sum := 0.0
	for i := range xs {
		y := f.At(xs[i])
		if y <= 0 {
			return math.Inf(1)
		}
		logRatio := math.Log(ys[i] / y)
		sum += logRatio * logRatio
	}
	return max(math.Sqrt(sum/float64(len(xs))), 1e-3)
}

func leastSquares(xs, ys []float64) (base, slope float64) {
	meanX, meanY := mean(xs), mean(ys)
	var sxy, sxx float64
	for i := range xs {
		sxy += (xs[i] - meanX) * (ys[i] - meanY)
		sxx += (xs[i] - meanX) * (xs[i] - meanX)
	}
	slope = sxy / sxx
	return meanY - slope*meanX, slope
}

// rSquared returns R2. It is 1 if all ys are the same.
func rSquared(xs, ys []float64, f Fit) float64 {
	meanY := mean(ys)
	var residual, total float64
	for i := range xs {
		difference := ys[i] - f.At(xs[i])
		residual += difference * difference
		total += (ys[i] - meanY) * (ys[i] - meanY)
	}
	if total == 0 {
		return 1
	}
	return 1 - residual/total
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

// Median returns the median of v, the lower of two middle values; 0 if v is empty.
func Median[T cmp.Ordered](v []T) (m T) {
	if len(v) > 0 {
		s := slices.Sorted(slices.Values(v))
		m = s[(len(s)-1)/2]
	}
	return m
}

// Tables returns the report as text: a table of the series, the points of each series, and a table of the facts.
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
		fit := "none: too few sizes"
		switch s.Fit.Form {
		case "linear":
			fit = fmt.Sprintf("%s + %s x", formatNumber(s.Fit.Base), formatNumber(s.Fit.Slope))
		case "power":
			fit = fmt.Sprintf("%s x^%.2f", formatNumber(s.Fit.Base), s.Fit.Slope)
		}
		row := []string{s.Name, s.XUnit, fit, fmt.Sprintf("%.3f", s.Fit.R2), "", "", "", "", ""}
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

// writeColumns writes rows of the same number of cells as aligned columns.
func writeColumns(b *strings.Builder, rows [][]string) {
	widths := make([]int, len(rows[0]))
	for _, row := range rows {
		for i, cell := range row {
			widths[i] = max(widths[i], len([]rune(cell)))
		}
	}
	for _, row := range rows {
		var line strings.Builder
		for i, cell := range row {
			fmt.Fprintf(&line, "%-*s  ", widths[i], cell)
		}
		b.WriteString(strings.TrimRight(line.String(), " ") + "\n")
	}
}

// formatNumber formats a number with four significant digits, large ones without an exponent.
func formatNumber(x float64) string {
	if a := math.Abs(x); a >= 1000 && a < 1e15 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.4g", x)
}

// Write writes the report as JSON to a file in dir, which it creates if needed, and returns the file's path. The file
// name consists of the report's time and commit. Values that are not finite are written as 0, as JSON has no form for
// them.
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
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	name := strings.NewReplacer(":", "", "-", "").Replace(r.StartedAt) + "-" + strings.TrimSuffix(cmp.Or(r.Commit, "none"), "+")
	path = filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return path, nil
}

func zeroIfNotFinite(x *float64) {
	if math.IsNaN(*x) || math.IsInf(*x, 0) {
		*x = 0
	}
}
