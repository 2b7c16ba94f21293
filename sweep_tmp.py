from foxtaillock.batch.tests import late_simulation, simulation, restart_simulation, crash_simulation
import sys, concurrent.futures
def one(a):
    kind,seed=a
    cls={'late':late_simulation.LateSimulation,'plain':simulation.Simulation,'restart':restart_simulation.RestartSimulation,'crash':crash_simulation.CrashSimulation}[kind]
    s=cls(seed); s.run(40.0)
    if kind=='restart': return kind,seed,s.check_guarded_runs()[:2], len(s.check_runs())
    if kind=='crash': return kind,seed,[x for x in (s.unfinished_jobs(), s.check_runs(), s.jobs_failed_without_cause(), s.running_cancelled_tasks()) if x]+([1] if max(s.starts_after_three_crashes().values(), default=0)>2 else []),0
    return kind,seed,s.check_runs()[:2],0
if __name__=='__main__':
    jobs=[(k,s) for k in ('plain','late','crash','restart') for s in range(300)]
    with concurrent.futures.ProcessPoolExecutor(4) as ex:
        rs=list(ex.map(one, jobs, chunksize=5))
    for k in ('plain','late','crash','restart'):
        r=[x for x in rs if x[0]==k]; print(k,len(r),'red',[(x[1],str(x[2])[:200]) for x in r if x[2]],'check_runs', sum(1 for x in r if x[3]))
