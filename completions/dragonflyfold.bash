# Bash completion of dragonflyfold.

_dragonflyfold_commands='apply cancel check diff drain fleet keygen result serve status submit trace'
_dragonflyfold_connection='--help --server --token --token-file --timeout --tls-ca'

_dragonflyfold_options()
{
	case $1 in
	apply) echo "--base --wait $_dragonflyfold_connection" ;;
	cancel) echo "--batch --team $_dragonflyfold_connection" ;;
	check) echo '--settings --pool --reference --help' ;;
	diff | drain) echo "$_dragonflyfold_connection" ;;
	fleet) echo '--settings --check --reference --help' ;;
	keygen) echo 'peer token --help' ;;
	result) echo "--wait --output $_dragonflyfold_connection" ;;
	serve) echo '--settings --help' ;;
	status) echo "jobs batches teams racks capacity instances --json $_dragonflyfold_connection" ;;
	submit)
		echo "--file --batch --key --wait --output --service --region --gang --accelerators
			--slots --cores --memory-gb --adjacent --urgent --guaranteed --checkpoint
			--idempotent --not-idempotent --declared-s --max-attempts --payload
			$_dragonflyfold_connection"
		;;
	trace) echo '--file --help' ;;
	esac
}

_dragonflyfold()
{
	local current=${COMP_WORDS[COMP_CWORD]}
	local previous=${COMP_WORDS[COMP_CWORD - 1]}
	local command=${COMP_WORDS[1]}
	COMPREPLY=()
	if [ "$COMP_CWORD" -eq 1 ]; then
		mapfile -t COMPREPLY < <(compgen -W "$_dragonflyfold_commands --help --version" -- "$current")
		return
	fi
	case $previous in
	--settings | --pool | --file | --output | --token-file | --tls-ca | -f | -o | -c | -p)
		mapfile -t COMPREPLY < <(compgen -f -- "$current")
		return
		;;
	--batch | -B)
		[ "$command" = submit ] && mapfile -t COMPREPLY < <(compgen -f -- "$current")
		return
		;;
	esac
	if [ "$command" = apply ] || [ "$command" = diff ]; then
		mapfile -t COMPREPLY < <(compgen -f -- "$current")
	fi
	mapfile -t -O "${#COMPREPLY[@]}" COMPREPLY < <(compgen -W "$(_dragonflyfold_options "$command")" -- "$current")
}

complete -o filenames -F _dragonflyfold dragonflyfold
