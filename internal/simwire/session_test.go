// SPDX-License-Identifier: Apache-2.0

package simwire

import (
	"bufio"
	"strings"
	"testing"
)

const opening = "ROUND\tNow=1000000000\tbatch=1\nON\tWho=node/1\nNEW_INSTANCE\tInitSeed=7\tNews.Key=odd\tReplicasOfMe=2" +
	"\tTick=4000000\tExtra.TellsStart=true\tLimits.MostPostings=3\tLimits.MayCancel=true\tSchemes.count=1" +
	"\tSchemes.0.Idempotency=idempotent\tSchemes.0.SlaTime=100000000\tSchemes.0.Expiry=900000000\n" +
	"UPDATE\tMode=stale_copy\tRevision=1\tMembersList=1\nITEM\tExecutor=10.0.0.1:80\tZone=0\tLifecycle=up\tNew=x\n" +
	"COMMIT\n"

const order = "ROUND\tNow=1004000000\tbatch=2\nON\tWho=node/1\n" +
	"ORDER\tJob=a\tGrade=0\tGiveUpAt=1904000000\tStrange=1\nCOMMIT\n"

func serve(t *testing.T, input string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := Serve(strings.NewReader(input), &out)
	return out.String(), err
}

func TestRoundTrip(t *testing.T) {
	out, err := serve(t, opening+order+
		"ROUND\tNow=1008000000\tbatch=3\nON\tWho=node/1\nHINT_UPDATE\tJob=a\tTrial=0\tTopic=1\n"+
		"REPORT_BACK\tJob=a\tEnded=1\tStatus=delivered\tTrial=0\tTimeTaken=4000000\n"+
		"ABANDONED\tJob=a\nREPORT_BACK\tJob=a\tEnded=1\tStatus=revoked\tTrial=0\nWAKE\tCookie=999\nCOMMIT\n")
	want := "YIELD\tbatch=1\nAT\tWho=node/1\nSET_ALARM\tCookie=1\tAfter=892000000\n" +
		"TRY\tJob=a\tExecutor=10.0.0.1:80\tLimit=0\nSET_ALARM\tCookie=2\tAfter=16000000\nYIELD\tbatch=2\n"
	if err != nil || !strings.HasPrefix(out, want) || !strings.HasSuffix(out, "YIELD\tbatch=3\n") {
		t.Fatalf("%v\n%s", err, out)
	}
}

// TestProbes: a probe goes out for a request, and its answer leads to an attempt; reports that are odd, late or of unknown
// servers are ignored, so that noise, such as a little less than nothing free, does not end the adapter.
func TestProbes(t *testing.T) {
	probing := strings.Replace(opening, "Tick", "Report.Source=pull\tReport.Fields=x0,x1\tExtra.ReportX0=free_slots\tExtra.ReportX1=free_memory"+
		"\tExtra.MemoryUnit=one\tLimits.MayProbe=true\tTick", 1)
	out, err := serve(t, probing+strings.Replace(order, "Strange=1", "Mem=0.5", 1)+"ROUND\tNow=1006000000\tbatch=3\nON\tWho=node/1\n"+
		"PROBED\tExecutor=10.9.9.9:1\tStatus=delivered\tServerStats=x0:1,x1:1\n"+
		"PROBED\tExecutor=10.0.0.1:80\tStatus=expired\n"+
		"PROBED\tExecutor=10.0.0.1:80\tStatus=delivered\tServerStats=x0:2,x1:-0.0001\n"+
		"WHISPER\tAuthor=3\tContent=-\nWHISPER\tAuthor=3\tContent=AQ==\nWHISPER\tAuthor=3\tContent=AQIDBAU=\n"+
		"PROBED\tExecutor=10.0.0.1:80\tStatus=delivered\nCOMMIT\n")
	if err != nil || !strings.Contains(out, "SOUND_OUT\tExecutor=10.0.0.1:80\n") || strings.Contains(out, "TRY") {
		t.Fatalf("%v\n%s", err, out)
	}
	out, err = serve(t, probing+order+"ROUND\tNow=1006000000\tbatch=3\nON\tWho=node/1\n"+
		"PROBED\tExecutor=10.0.0.1:80\tStatus=delivered\tServerStats=x0:2,x1:1\nCOMMIT\n")
	if err != nil || !strings.Contains(out, "TRY\tJob=a\tExecutor=10.0.0.1:80") {
		t.Fatalf("%v\n%s", err, out)
	}
}

// TestClocksDiffer: by how much a deadline may be too early reaches the dispatcher; a request with no time left goes out, and without
// the setting it is answered at once.
func TestClocksDiffer(t *testing.T) {
	short := strings.Replace(order, "GiveUpAt=1904000000", "GiveUpAt=1004000000", 1)
	out, err := serve(t, strings.Replace(opening, "Tick", "Rules.LeftMargin=900000000\tTick", 1)+short)
	if err != nil || !strings.Contains(out, "TRY\tJob=a") || strings.Contains(out, "NOT_NOW") {
		t.Fatalf("%v\n%s", err, out)
	}
	if out, err = serve(t, opening+short); err != nil || !strings.Contains(out, "NOT_NOW\tJob=a") {
		t.Fatalf("%v\n%s", err, out)
	}
}

func TestKillAndRestart(t *testing.T) {
	out, err := serve(t, opening+order+"ROUND\tNow=1006000000\tbatch=3\nON\tWho=node/1\nKILL\nCOMMIT\n"+
		strings.Replace(opening, "Now=1000000000", "Now=1010000000", 1)+
		"ROUND\tNow=1012000000\tbatch=5\nON\tWho=node/1\nWAKE\tCookie=2\nREPORT_BACK\tJob=a\tStatus=delivered\tTrial=0\nCOMMIT\n")
	if err != nil || !strings.HasSuffix(out, "YIELD\tbatch=5\n") {
		t.Fatalf("%v\n%s", err, out)
	}
}

func TestMalformedIsSaidWithItsLine(t *testing.T) {
	for name, c := range map[string]struct{ input, want string }{
		"unknown message": {opening + "ROUND\tNow=5\tbatch=2\nON\tWho=node/1\nHOWDY\tX=1\n", "line 9: unknown message"},
		"missing field":   {opening + "ROUND\tNow=5\tbatch=2\nON\tWho=node/1\nORDER\tJob=a\tGrade=0\n", "line 9: ORDER: field GiveUpAt"},
		"not a number":    {"ROUND\tNow=soon\tbatch=1\n", "line 1: ROUND: field Now"},
		"no instance":     {"ROUND\tNow=5\tbatch=1\nORDER\tJob=a\n", "line 2: ORDER with no instance"},
		"short list":      {strings.Replace(opening, "MembersList=1", "MembersList=2", 1), "line 6: COMMIT where 1 more"},
		"unknown scheme":  {opening + strings.Replace(order, "Grade=0", "Grade=7", 1), "line 9: ORDER: no scheme 7"},
		"odd report":      {strings.Replace(opening, "Tick", "Extra.ReportX0=free_slots\tTick", 1) + order + "ROUND\tNow=2\tbatch=3\nON\tWho=node/1\nREPORT_BACK\tJob=a\tTrial=0\tStatus=delivered\tServerStats=util:0.1,x0:many\n", "ServerStats: x0"},
		"unknown status":  {opening + order + "ROUND\tNow=2\tbatch=3\nON\tWho=node/1\nREPORT_BACK\tJob=a\tTrial=0\tStatus=fine\n", "unknown status"},
		"cut short":       {"ROUND\tNow=5\tbatch=1\n", "ends within a round"},
	} {
		if _, err := serve(t, c.input); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

func TestPanicIsReportedForItsInstanceAlone(t *testing.T) {
	var out strings.Builder
	s := &session{out: bufio.NewWriter(&out)}
	n := &instance{name: "node/1", session: s}
	n.step(func() { panic("index\tout") })
	if err := s.out.Flush(); err != nil {
		t.Fatal(err)
	}
	if !n.crashed || !strings.HasPrefix(out.String(), "AT\tWho=node/1\nCRASH\tText=index out") {
		t.Fatal(out.String())
	}
}
