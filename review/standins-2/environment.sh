# Sets the path of Python modules; to be read at the root of the repository.
PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="$PWD/target/deps:$PWD/platform:$PWD/review/standins-2"
for source in "$PWD"/packages/*/src; do
    PYTHONPATH="$PYTHONPATH:$source"
done
export PYTHONPATH PYTHONDONTWRITEBYTECODE
