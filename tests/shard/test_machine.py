import hypothesis

from tests.shard.machine import ShardMachine

ShardMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=60,
    deadline=None,
    database=None,
    # Failing runs are not shrunk, which would take longer than all other tests.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestShard = ShardMachine.TestCase
