// SPDX-License-Identifier: Apache-2.0

package simwire

import (
	"bufio"
	"strings"
	"testing"
)

// startInput starts an instance and gives it an endpoint list with one server. It includes unknown fields,
// which the adapter must skip.
const startInput = "ROUND\tNow=1000000000\tbatch=1\nON\tWho=node/1\nNEW_INSTANCE\tInitSeed=7" +
	"\tNews.Key=odd\tReplicasOfMe=2" +
	"\tTick=4000000\tExtra.TellsStart=true\tLimits.MostPostings=3\tLimits.MayCancel=true\tSchemes.count=1" +
	"\tSchemes.0.Idempotency=idempotent\tSchemes.0.SlaTime=100000000\tSchemes.0.Expiry=900000000\n" +
	"UPDATE\tMode=stale_copy\tRevision=1\tMembersList=1\n" +
	"ITEM\tExecutor=10.0.0.1:80\tZone=0\tLifecycle=up\tNew=x\n" +
	"COMMIT\n"

// requestInput is a round with one request.
const requestInput = "ROUND\tNow=1004000000\tbatch=2\nON\tWho=node/1\n" +
	"ORDER\tJob=a\tGrade=0\tGiveUpAt=1904000000\tStrange=1\nCOMMIT\n"

func serve(t *testing.T, input string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := Serve(strings.NewReader(input), &out)
	return out.String(), err
}

// TestRoundTrip: a request causes an attempt and timers, and messages about an attempt that has ended or
// an unknown timer are ignored.
func TestRoundTrip(t *testing.T) {
	out, err := serve(t, startInput+requestInput+
		"ROUND\tNow=1008000000\tbatch=3\nON\tWho=node/1\nHINT_UPDATE\tJob=a\tTrial=0\tTopic=1\n"+
		"REPORT_BACK\tJob=a\tEnded=1\tStatus=delivered\tTrial=0\tTimeTaken=4000000\n"+
		"ABANDONED\tJob=a\nREPORT_BACK\tJob=a\tEnded=1\tStatus=revoked\tTrial=0\nWAKE\tCookie=999\nCOMMIT\n")
	want := "YIELD\tbatch=1\nAT\tWho=node/1\nSET_ALARM\tCookie=1\tAfter=892000000\n" +
		"TRY\tJob=a\tExecutor=10.0.0.1:80\tLimit=0\nSET_ALARM\tCookie=2\tAfter=16000000\nYIELD\tbatch=2\n"
	if err != nil || !strings.HasPrefix(out, want) || !strings.HasSuffix(out, "YIELD\tbatch=3\n") {
		t.Fatalf("got error %v and this output, want an attempt in batch 2 and a reply to batch 3\n%s", err, out)
	}
}

// TestProbes: a request causes a probe, and the response to the probe causes an attempt. Reports that are
// invalid, late or from unknown servers are ignored: noise, such as a slightly negative value, must not
// end the adapter.
func TestProbes(t *testing.T) {
	probing := strings.Replace(startInput, "Tick", "Report.Source=pull\tReport.Fields=x0,x1"+
		"\tExtra.ReportX0=free_slots\tExtra.ReportX1=free_memory"+
		"\tExtra.MemoryUnit=one\tLimits.MayProbe=true\tTick", 1)
	out, err := serve(t, probing+strings.Replace(requestInput, "Strange=1", "Mem=0.5", 1)+
		"ROUND\tNow=1006000000\tbatch=3\nON\tWho=node/1\n"+
		"PROBED\tExecutor=10.9.9.9:1\tStatus=delivered\tServerStats=x0:1,x1:1\n"+
		"PROBED\tExecutor=10.0.0.1:80\tStatus=expired\n"+
		"PROBED\tExecutor=10.0.0.1:80\tStatus=delivered\tServerStats=x0:2,x1:-0.0001\n"+
		"WHISPER\tAuthor=3\tContent=-\nWHISPER\tAuthor=3\tContent=AQ==\nWHISPER\tAuthor=3\tContent=AQIDBAU=\n"+
		"PROBED\tExecutor=10.0.0.1:80\tStatus=delivered\nCOMMIT\n")
	if err != nil || !strings.Contains(out, "SOUND_OUT\tExecutor=10.0.0.1:80\n") ||
		strings.Contains(out, "TRY") {
		t.Fatalf("invalid reports: got error %v and this output, want a probe and no attempt\n%s", err, out)
	}
	out, err = serve(t, probing+requestInput+"ROUND\tNow=1006000000\tbatch=3\nON\tWho=node/1\n"+
		"PROBED\tExecutor=10.0.0.1:80\tStatus=delivered\tServerStats=x0:2,x1:1\nCOMMIT\n")
	if err != nil || !strings.Contains(out, "TRY\tJob=a\tExecutor=10.0.0.1:80") {
		t.Fatalf("valid report: got error %v and this output, want an attempt\n%s", err, out)
	}
}

// TestDeadlineMargin: the setting Rules.LeftMargin, by which a deadline may be too early if clocks differ,
// reaches the dispatcher. With it a request without remaining time is sent; without it the request is
// rejected immediately.
func TestDeadlineMargin(t *testing.T) {
	expired := strings.Replace(requestInput, "GiveUpAt=1904000000", "GiveUpAt=1004000000", 1)
	out, err := serve(t, strings.Replace(startInput, "Tick", "Rules.LeftMargin=900000000\tTick", 1)+expired)
	if err != nil || !strings.Contains(out, "TRY\tJob=a") || strings.Contains(out, "NOT_NOW") {
		t.Fatalf("with margin: got error %v and this output, want an attempt and no rejection\n%s", err, out)
	}
	if out, err = serve(t, startInput+expired); err != nil || !strings.Contains(out, "NOT_NOW\tJob=a") {
		t.Fatalf("without margin: got error %v and this output, want a rejection\n%s", err, out)
	}
}

// TestKillAndRestart: after an instance was killed and started again, messages about its former timers
// and attempts are ignored.
func TestKillAndRestart(t *testing.T) {
	out, err := serve(t, startInput+requestInput+
		"ROUND\tNow=1006000000\tbatch=3\nON\tWho=node/1\nKILL\nCOMMIT\n"+
		strings.Replace(startInput, "Now=1000000000", "Now=1010000000", 1)+
		"ROUND\tNow=1012000000\tbatch=5\nON\tWho=node/1\nWAKE\tCookie=2\n"+
		"REPORT_BACK\tJob=a\tStatus=delivered\tTrial=0\nCOMMIT\n")
	if err != nil || !strings.HasSuffix(out, "YIELD\tbatch=5\n") {
		t.Fatalf("got error %v and this output, want a reply to batch 5\n%s", err, out)
	}
}

// TestInvalidInputIsReportedWithLineNumber: Serve ends with an error that names the line and the cause.
func TestInvalidInputIsReportedWithLineNumber(t *testing.T) {
	for name, c := range map[string]struct{ input, want string }{
		"unknown message": {startInput + "ROUND\tNow=5\tbatch=2\nON\tWho=node/1\nHOWDY\tX=1\n",
			"line 9: unknown message"},
		"missing field": {startInput + "ROUND\tNow=5\tbatch=2\nON\tWho=node/1\nORDER\tJob=a\tGrade=0\n",
			"line 9: ORDER: field GiveUpAt"},
		"not a number": {"ROUND\tNow=soon\tbatch=1\n", "line 1: ROUND: field Now"},
		"no instance":  {"ROUND\tNow=5\tbatch=1\nORDER\tJob=a\n", "line 2: ORDER with no instance"},
		"short list": {strings.Replace(startInput, "MembersList=1", "MembersList=2", 1),
			"line 6: COMMIT where 1 more"},
		"unknown scheme": {startInput + strings.Replace(requestInput, "Grade=0", "Grade=7", 1),
			"line 9: ORDER: no scheme 7"},
		"invalid report": {strings.Replace(startInput, "Tick", "Extra.ReportX0=free_slots\tTick", 1) +
			requestInput +
			"ROUND\tNow=2\tbatch=3\nON\tWho=node/1\n" +
			"REPORT_BACK\tJob=a\tTrial=0\tStatus=delivered\tServerStats=util:0.1,x0:many\n",
			"ServerStats: x0"},
		"unknown status": {startInput + requestInput +
			"ROUND\tNow=2\tbatch=3\nON\tWho=node/1\nREPORT_BACK\tJob=a\tTrial=0\tStatus=fine\n",
			"unknown status"},
		"truncated round": {"ROUND\tNow=5\tbatch=1\n", "ends within a round"},
	} {
		if _, err := serve(t, c.input); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that contains %q", name, err, c.want)
		}
	}
}

// TestPanicStopsOnlyItsInstance: a panic in a step is reported as a CRASH action of its instance.
func TestPanicStopsOnlyItsInstance(t *testing.T) {
	var out strings.Builder
	s := &session{out: bufio.NewWriter(&out)}
	n := &instance{name: "node/1", session: s}
	n.step(func() { panic("index\tout") })
	if err := s.out.Flush(); err != nil {
		t.Fatal(err)
	}
	if !n.crashed || !strings.HasPrefix(out.String(), "AT\tWho=node/1\nCRASH\tText=index out") {
		t.Fatalf("got output %q and crashed=%t, want a CRASH action", out.String(), n.crashed)
	}
}
