package scale

import (
	"encoding/json"
	"math"
	"os"
	"strings"
	"testing"
)

func TestFitLineAndPower(t *testing.T) {
	line := FitPoints([]Point{{1, 5}, {2, 7}, {10, 23}, {100, 203}})
	if line.Form != "linear" || math.Abs(line.Base-3) > 1e-9 || math.Abs(line.Slope-2) > 1e-9 || line.R2 < 0.999999 {
		t.Errorf("fit of 3 + 2x is %+v", line)
	}
	power := FitPoints([]Point{{1, 3}, {2, 12}, {10, 300}, {100, 30000}, {1000, 3e6}})
	if power.Form != "power" || math.Abs(power.Base-3) > 1e-6 || math.Abs(power.Slope-2) > 1e-6 {
		t.Errorf("fit of 3x^2 is %+v", power)
	}
	if got := power.At(20); math.Abs(got-1200) > 1e-3 {
		t.Errorf("3x^2 at 20 is %v", got)
	}
	if flat := FitPoints([]Point{{1, 4}, {2, 4}, {3, 4}, {4, 4}}); flat.R2 != 1 || flat.Slope != 0 {
		t.Errorf("fit of a constant is %+v", flat)
	}
}

// TestFitNeedsEnoughSizes checks that three sizes give no fit, however often each was measured.
func TestFitNeedsEnoughSizes(t *testing.T) {
	r := NewReport("c", "x")
	r.AddSeries(Series{Name: "few", Points: []Point{{1, 1}, {1, 1}, {2, 2}, {2, 2}, {3, 3}, {math.NaN(), 4}}, TargetX: 9, Limit: 1})
	if s := r.Series[0]; s.Fit.Form != "none" || s.AtTarget != 0 {
		t.Errorf("got fit %+v and %v at the target, want no fit", s.Fit, s.AtTarget)
	}
	if text := r.Tables(); !strings.Contains(text, "none: too few sizes") || !strings.Contains(text, "not known") {
		t.Errorf("the table does not say that there is no fit:\n%s", text)
	}
}

func TestReportWrite(t *testing.T) {
	r := NewReport("abc1234+", "call")
	points := []Point{{1, 2}, {2, 4}, {3, 6}, {4, 8.5}}
	r.AddSeries(Series{Name: "s", XUnit: "x", YUnit: "y", Points: points, TargetX: 4, Limit: 17, Fixed: map[string]float64{"n": 7}})
	r.AddSeries(Series{Name: "beyond", Points: points, TargetX: 100})
	r.AddFact(Fact{Name: "f", Unit: "B", Value: math.Inf(1)})
	if got := r.Series[0].AtTarget; got != 8.5 {
		t.Errorf("value at a measured size is %v, want the measured 8.5", got)
	}
	if got := r.Series[1].AtTarget; math.Abs(got-r.Series[1].Fit.At(100)) > 1e-9 {
		t.Errorf("value beyond the measured sizes is %v, want that of the fit", got)
	}
	path, err := r.Write(t.TempDir() + "/new")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(path, "Z-abc1234.json") {
		t.Errorf("path is %s, want the suffix Z-abc1234.json", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(text, &back); err != nil {
		t.Fatal(err)
	}
	if back.Commit != r.Commit || len(back.Series) != 2 || back.Series[0].Fixed["n"] != 7 || back.Go == "" || back.Cores == 0 {
		t.Errorf("the report read back from the file differs; its series are %+v", back.Series)
	}
	if text := r.Tables(); !strings.Contains(text, "50%") || !strings.Contains(text, "8.5") {
		t.Errorf("the tables lack 50%% or 8.5:\n%s", text)
	}
}

func TestMedian(t *testing.T) {
	if Median([]int{5, 1, 3}) != 3 || Median([]float64{4, 1, 2, 3}) != 2 || Median([]int(nil)) != 0 {
		t.Error("Median of an odd, an even or an empty slice is wrong")
	}
}
